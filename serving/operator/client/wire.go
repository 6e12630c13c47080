package client

// What the operator's API speaks.
const (
	replacePath       = "/Settings.Replace"
	amendPath         = "/Settings.Amend"
	readPath          = "/Settings.Read"
	evacuatePath      = "/Clearance.Begin/"
	evacuationEndPath = "/Clearance.Finish/"
	baseHeader        = "X-Based-On"
	contentHeader     = "Content-Type"
	jsonType          = "application/json"
)
