package errcode

import "net/http"

// Errors of a configuration document or an amendment (400 to 409).
var (
	DocumentUnreadable           = define(400, http.StatusBadRequest, "the document is not one complete JSON object")
	FieldInvalid                 = define(401, http.StatusBadRequest, "a field is missing or invalid")
	ServiceUnknown               = define(402, http.StatusBadRequest, "a route refers to an unknown service")
	DuplicateService             = define(403, http.StatusBadRequest, "two services have the same name")
	DuplicateRoute               = define(404, http.StatusBadRequest, "two routes share host and prefix")
	RouteWithoutWeight           = define(405, http.StatusBadRequest, "the weights of a route sum to 0")
	AmendmentListUnknown         = define(406, http.StatusBadRequest, "an amendment names an unknown list")
	AmendmentItemUnnamed         = define(407, http.StatusBadRequest, "an amendment has an item without a name")
	AmendmentNameDuplicate       = define(408, http.StatusBadRequest, "an amendment names an item more than once")
	AmendedConfigurationTooLarge = define(409, http.StatusBadRequest, "the amended configuration exceeds the size limit")
)
