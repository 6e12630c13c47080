package errcode

import "net/http"

// Refusals of a configuration document (400 to 409).
var (
	DocumentUnreadable           = define(400, http.StatusBadRequest, "the document is not one whole JSON object")
	FieldInvalid                 = define(401, http.StatusBadRequest, "a field is missing or has a wrong value")
	ServiceUnknown               = define(402, http.StatusBadRequest, "a route names a service that the document lacks")
	DuplicateService             = define(403, http.StatusBadRequest, "two services have the same name")
	DuplicateRoute               = define(404, http.StatusBadRequest, "two routes share host and prefix")
	RouteWithoutWeight           = define(405, http.StatusBadRequest, "the weights of a route add up to 0")
	AmendmentListUnknown         = define(406, http.StatusBadRequest, "an amendment names a list that configurations don't have")
	AmendmentItemUnnamed         = define(407, http.StatusBadRequest, "an amendment has an item without a name")
	AmendmentNameDuplicate       = define(408, http.StatusBadRequest, "an amendment names an item twice")
	AmendedConfigurationTooLarge = define(409, http.StatusBadRequest, "the amended configuration is larger than may be sent")
)
