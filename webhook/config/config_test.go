package config

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"rowanlink/webhook/api"
)

func TestPairsAndNestedJSONSayTheSame(t *testing.T) {
	pairs, err := FromPairs(7, "classes.count=1\nclasses.0.aim=2500000999\nclasses.0.deadline=9000000000\n"+
		"classes.0.repeat=token\nclasses.0.group=all\nclasses.0.lateValue=0.3\n"+
		"kinds=a_b,c\nfamilyInfo.batchByKind=10,1\n"+
		"familyInfo.kindApart=false,true\nfamilyInfo.slots=4\nlimits.cancel=true\nweightSource=rough\n")
	require.NoError(t, err)
	nested, names, idle, err := FromJSON(7, gjson.Parse(`{"classes":[{"aim":2500000999,"deadline":9000000000,
		"repeat":"token","group":"all","lateValue":0.3,"name":"status"}],"kinds":["a b","c"],"zones":[],
		"familyInfo":{"batchByKind":[10,1],"kindApart":[false,true],"slots":4},"unknown":[{"x":[1]}],
		"limits":{"cancel":true,"keepalive":5000000000},"weightSource":"rough"}`))
	require.NoError(t, err)
	assert.Equal(t, pairs, nested)
	assert.Equal(t, []string{"a b", "c"}, names.Kinds)
	assert.Equal(t, []string{"status"}, names.EventTypes)
	assert.Nil(t, names.Tenants)
	assert.Equal(t, 5*api.Second, idle)
}

func TestEventTypeWithoutANameKeepsItsPlace(t *testing.T) {
	f, names, _, err := FromJSON(7, gjson.Parse(`{"classes":[{"repeat":"pure"},{"repeat":"token","name":"b"}]}`))
	require.NoError(t, err)
	assert.Equal(t, []string{"", "b"}, names.EventTypes)
	assert.Equal(t, api.Deduplicated, f.EventTypes[1].Semantics)
}

func TestNamesKeepTheirPlacesInARunningDispatcher(t *testing.T) {
	was := Catalog{EventTypes: []string{"a", "b"}, Kinds: []string{"k"}}
	facts := api.Settings{DestinationKinds: []api.DestinationKind{{BatchSize: 1}}}
	assert.NoError(t, CheckReload(facts, facts, was, was))
	assert.NoError(t, CheckReload(facts, facts, was, Catalog{EventTypes: []string{"a"}, Kinds: []string{"k", "l"}}))
	assert.ErrorContains(t, CheckReload(facts, facts, was, Catalog{EventTypes: []string{"b", "a"}}), `classes.0: "b"`)
	apart := api.Settings{DestinationKinds: []api.DestinationKind{{BatchSize: 1, SeparateRoutes: true}}}
	assert.ErrorContains(t, CheckReload(facts, apart, was, was), "kindApart.0")
}

func TestABadValueIsNamedWithItsKey(t *testing.T) {
	_, err := FromPairs(1, "classes.count=1\nclasses.0.repeat=pure\nweightSource=guessed\n")
	assert.ErrorContains(t, err, `weightSource: "guessed"`)
}

func TestPlacesInReportsFollowTheirNames(t *testing.T) {
	left, limit := ReportPositions("reporting.names=backlog,x1,x0\n")
	assert.Equal(t, []int{2, 1}, []int{left, limit})
	left, _ = ReportPositions("reporting.names=\n")
	assert.Equal(t, -1, left)
}
