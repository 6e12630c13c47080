package client

// What the operator's API speaks.
const (
	replacePath         = "/Settings.Replace"
	amendPath           = "/Settings.Amend"
	readPath            = "/Settings.Read"
	beginEvacuationPath = "/Clearance.Begin/"
	endEvacuationPath   = "/Clearance.Finish/"
	baseVersionHeader   = "X-Based-On"
	contentTypeHeader   = "Content-Type"
	jsonContentType     = "application/json"
)
