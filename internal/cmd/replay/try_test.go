package replay
import ("testing";"os";"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory")
func TestTry(t *testing.T){ f:=factory.New(); c:=NewCmd(f,nil); c.SetArgs([]string{"--directory","../../../testdata/traces","--generate"}); if err:=c.Execute();err!=nil{t.Fatal(err)}
 c=NewCmd(f,nil); c.SetArgs([]string{"--directory","../../../testdata/traces"}); if err:=c.Execute();err!=nil{t.Error(err)}; _=os.Args }
