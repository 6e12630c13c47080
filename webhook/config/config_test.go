package config

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"rowanlink/webhook/api"
)

func TestPairsAndNestedJSONGiveTheSameSettings(t *testing.T) {
	pairs, err := FromPairs(7, "classes.count=1\nclasses.0.aim=2500000999\nclasses.0.deadline=9000000000\n"+
		"classes.0.repeat=token\nclasses.0.group=all\nclasses.0.lateValue=0.3\n"+
		"kinds=a_b,c\nfamilyInfo.batchByKind=10,1\n"+
		"familyInfo.kindApart=false,true\nfamilyInfo.slots=4\nlimits.cancel=true\nweightSource=rough\n")
	require.NoError(t, err)
	nested, catalog, idleTimeout, err := FromJSON(7, gjson.Parse(`{"classes":[{"aim":2500000999,"deadline":9000000000,
		"repeat":"token","group":"all","lateValue":0.3,"name":"status"}],"kinds":["a b","c"],"zones":[],
		"familyInfo":{"batchByKind":[10,1],"kindApart":[false,true],"slots":4},"unknown":[{"x":[1]}],
		"limits":{"cancel":true,"keepalive":5000000000},"weightSource":"rough"}`))
	require.NoError(t, err)
	assert.Equal(t, pairs, nested)
	assert.Equal(t, []string{"a b", "c"}, catalog.Kinds)
	assert.Equal(t, []string{"status"}, catalog.EventTypes)
	assert.Nil(t, catalog.Tenants)
	assert.Equal(t, 5*api.Second, idleTimeout)
}

func TestEventTypeWithoutANameKeepsItsIndex(t *testing.T) {
	document := gjson.Parse(`{"classes":[{"repeat":"pure"},{"repeat":"token","name":"b"}]}`)
	settings, catalog, _, err := FromJSON(7, document)
	require.NoError(t, err)
	assert.Equal(t, []string{"", "b"}, catalog.EventTypes)
	assert.Equal(t, api.Deduplicated, settings.EventTypes[1].Semantics)
}

func TestNamesKeepTheirIndexesOverAReload(t *testing.T) {
	before := Catalog{EventTypes: []string{"a", "b"}, Kinds: []string{"k"}}
	settings := api.Settings{DestinationKinds: []api.DestinationKind{{BatchSize: 1}}}
	assert.NoError(t, CheckReload(settings, settings, before, before))

	shortenedAndExtended := Catalog{EventTypes: []string{"a"}, Kinds: []string{"k", "l"}}
	assert.NoError(t, CheckReload(settings, settings, before, shortenedAndExtended))

	reordered := Catalog{EventTypes: []string{"b", "a"}}
	assert.ErrorContains(t, CheckReload(settings, settings, before, reordered), `classes.0: "b"`)

	separateRoutes := api.Settings{DestinationKinds: []api.DestinationKind{{BatchSize: 1, SeparateRoutes: true}}}
	assert.ErrorContains(t, CheckReload(settings, separateRoutes, before, before), "kindApart.0")
}

func TestErrorOfAnInvalidValueNamesItsKey(t *testing.T) {
	_, err := FromPairs(1, "classes.count=1\nclasses.0.repeat=pure\nweightSource=guessed\n")
	assert.ErrorContains(t, err, `weightSource: "guessed"`)
}

func TestReportPositionsFollowTheNames(t *testing.T) {
	headroom, limit := ReportPositions("reporting.names=backlog,x1,x0\n")
	assert.Equal(t, []int{2, 1}, []int{headroom, limit})
	headroom, _ = ReportPositions("reporting.names=\n")
	assert.Equal(t, -1, headroom)
}
