package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// deniedHeader is the header fields of a denial whose values clients check.
type deniedHeader struct{ deniedBy, reason string }

var wantDeniedHeader = deniedHeader{deniedBy: "authoriser", reason: "authorisation-denied"}

// postDenied sends the request that the authorization service denies to a listener, and returns the header of the
// response.
func postDenied(client *http.Client, address string) (deniedHeader, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/loans/1", nil)
	if err != nil {
		return deniedHeader{}, err
	}
	request.Header.Set("X-Api-Key", "k-denied")
	request.Header.Set("Idempotency-Key", "k")
	response, err := client.Do(request)
	if err != nil {
		return deniedHeader{}, err
	}
	header := deniedHeader{strings.Join(response.Header["X-Denied-By"], "|"), strings.Join(response.Header["X-Yardcleat-Reason"], "|")}
	return header, response.Body.Close()
}

// checkDenied sends the same request as a proxy does.
func checkDenied(conn *grpc.ClientConn) (header deniedHeader, err error) {
	http := &authv3.AttributeContext_HttpRequest{Method: "POST", Path: "/loans/1", Host: "h", Headers: map[string]string{
		"x-api-key": "k-denied", "idempotency-key": "k", "x-envoy-expected-rq-timeout-ms": "2000"}}
	response, err := authv3.NewAuthorizationClient(conn).Check(context.Background(), &authv3.CheckRequest{
		Attributes: &authv3.AttributeContext{Request: &authv3.AttributeContext_Request{Http: http}}})
	for _, h := range response.GetDeniedResponse().GetHeaders() {
		switch h.GetHeader().GetKey() {
		case "x-denied-by":
			header.deniedBy += h.GetHeader().GetValue()
		case "x-yardcleat-reason":
			header.reason += h.GetHeader().GetValue()
		}
	}
	return header, err
}

// Clients of all listeners that get one cached denial at the same moment must each get it whole. The listeners add a
// header to it; in a response that they shared, that was a data race, which -race shows in this test.
func TestCachedDenialIsWholeForAllClients(t *testing.T) {
	const clientsPerListener = 20
	src := strings.NewReplacer(`authorisation = "refuse"`, "authorisation = \"refuse\"\n  remember = \"10s\"", "rate = 10", "rate = 1000",
		"burst = 20", "burst = 1000").Replace(testBedConfig) + "\nlistener \"http2\" \"kiosks\" { address = \"10.0.0.1:82\" }\n"
	runInTestBedWith(t, src, func(bed *testBed) {
		dial := func(ctx context.Context, _, address string) (net.Conn, error) {
			return bed.clientHost.Dial(ctx, address)
		}
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		http2Client := &http.Client{Transport: &http.Transport{DialContext: dial, Protocols: protocols}}
		proxy, err := grpc.NewClient("passthrough:///10.0.0.1:81", grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) { return bed.clientHost.Dial(ctx, address) }))
		if err != nil {
			t.Fatal(err)
		}
		send := map[string]func() (deniedHeader, error){
			"HTTP/1.1":  func() (deniedHeader, error) { return postDenied(bed.client, "10.0.0.1:80") },
			"HTTP/2":    func() (deniedHeader, error) { return postDenied(http2Client, "10.0.0.1:82") },
			"ext_authz": func() (deniedHeader, error) { return checkDenied(proxy) },
		}
		if got, err := send["HTTP/1.1"](); err != nil || got != wantDeniedHeader {
			t.Fatalf("response of the service: %+v, %v", got, err)
		}
		bed.setAuthorizerFault(bed.authorizer, "silent", "")
		var clients sync.WaitGroup
		for listener, f := range send {
			for range clientsPerListener {
				clients.Go(func() {
					if got, err := f(); err != nil || got != wantDeniedHeader {
						t.Errorf("%s: %+v, %v", listener, got, err)
					}
				})
			}
		}
		clients.Wait()
		http2Client.CloseIdleConnections()
		mustClose(t, proxy)
	})
}
