package client

// Paths and headers of the operators' API.
const (
	replacePath         = "/Settings.Replace"
	amendPath           = "/Settings.Amend"
	readPath            = "/Settings.Read"
	beginEvacuationPath = "/Clearance.Begin/"
	endEvacuationPath   = "/Clearance.Finish/"
	beginRolloutPath    = "/Editions.Begin"
	readRolloutPath     = "/Editions.Read/"
	baseVersionHeader   = "X-Based-On"
	contentTypeHeader   = "Content-Type"
	jsonContentType     = "application/json"
)
