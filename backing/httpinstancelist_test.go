package backing_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
)

func TestUnchangedInstanceListIsNotSentAgain(t *testing.T) {
	list := fakes.NewInstanceList(0, time.Now)
	list.Put(core.Instance{ID: "a", Role: core.RoleEntry})
	server := httptest.NewServer(list)
	defer server.Close()
	client := backing.NewHTTPInstanceList(backing.HTTPConfig{BaseURL: server.URL})
	first, err := client.Instances(t.Context())
	assert.NilError(t, err)
	bytesSent := list.SentBytes()
	for range 3 {
		again, err := client.Instances(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, again, first)
	}
	assert.Equal(t, list.SentBytes(), bytesSent)
	list.Put(core.Instance{ID: "b", Role: core.RoleModel})
	changed, err := client.Instances(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(changed), 2)
	assert.Assert(t, list.SentBytes() > bytesSent)
}
