package entry

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"testing"
	"time"
)

// FuzzMessage sends raw messages to a server. The server must not crash, and only a
// valid call of the method may run its handler.
func FuzzMessage(f *testing.F) {
	for _, seed := range []string{
		`{"jsonrpc":"2.0","id":1,"method":"Test.Set","params":{"Value":5}}`,
		`{"jsonrpc":"2.0","id":"a","method":"Entry.Ping","params":{}}`,
		`{"jsonrpc":"2.0","id":1,"method":"Test.Set","params":{"Value":5,"Other":1}}`,
		`{"jsonrpc":"2.0","method":"Test.Set","params":{"Value":5}}`,
		`{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"x"}}`,
		`{"jsonrpc":"2.0","id":1,"result":null}`,
		`[{"jsonrpc":"2.0","id":1,"method":"Test.Set"}]`, `[]`, `null`, `{"id":1`, "\x00", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		ran := false
		server := NewServer(ServerOptions{CallTimeout: time.Second})
		Handle(server, "Test.Set", func(_ context.Context, req struct{ Value uint8 }) (int, error) {
			ran = true
			return int(req.Value), nil
		})
		ctx, cancel := context.WithCancel(context.Background())
		clientEnd, serverEnd := net.Pipe()
		server.ServeConnection(ctx, serverEnd)
		_ = clientEnd.SetDeadline(time.Now().Add(time.Second))
		_, _ = clientEnd.Write(append(binary.AppendUvarint(nil, uint64(len(body))), body...))
		_ = clientEnd.Close()
		cancel()
		server.group.Wait()
		var call struct {
			Method string          `json:"method"`
			Params json.RawMessage `json:"params"`
		}
		if err := json.Unmarshal(body, &call); ran && (err != nil || call.Method != "Test.Set" || len(call.Params) == 0) {
			t.Errorf("message %q ran the handler: %v", body, err)
		}
	})
}
