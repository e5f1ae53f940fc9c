package extauthz

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
)

func header(name, value string) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{Header: &corev3.HeaderValue{Key: name, Value: value}}
}

func appended(name, value string) *corev3.HeaderValueOption {
	option := header(name, value)
	option.Append = wrapperspb.Bool(true) //nolint:staticcheck // deprecated, but services send it
	return option
}

func statedTTL(t *testing.T, milliseconds float64) *structpb.Struct {
	t.Helper()
	s, err := structpb.NewStruct(map[string]any{CacheTTLMetadata: milliseconds})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestPermissionIsConverted(t *testing.T) {
	got := authorizationResult(&authv3.CheckResponse{
		DynamicMetadata: statedTTL(t, 1500),
		HttpResponse: &authv3.CheckResponse_OkResponse{OkResponse: &authv3.OkHttpResponse{
			Headers: []*corev3.HeaderValueOption{
				header("X-Role", "clerk"),
				appended("X-Group", "a"),
				{Header: &corev3.HeaderValue{Key: "X-Raw", RawValue: []byte("raw")}},
				header("Content-Length", "7"), // dropped, since it determines the message framing
			},
			HeadersToRemove:         []string{"X-Secret", "Host"},
			QueryParametersToSet:    []*corev3.QueryParameter{{Key: "role", Value: "clerk"}},
			QueryParametersToRemove: []string{"token"},
			ResponseHeadersToAdd:    []*corev3.HeaderValueOption{header("X-Seen", "1"), appended("X-Seen", "2")},
		}},
	}, nil)
	want := node.AuthorizationResult{
		Outcome:         authz.Allowed,
		CacheTTL:        1500 * time.Millisecond,
		SetHeaders:      http1.Header{{Name: "X-Role", Value: "clerk"}, {Name: "X-Raw", Value: "raw"}},
		AppendHeaders:   http1.Header{{Name: "X-Group", Value: "a"}},
		RemoveHeaders:   []string{"X-Secret"},
		SetQuery:        []http1.Field{{Name: "role", Value: "clerk"}},
		RemoveQuery:     []string{"token"},
		ResponseHeaders: http1.Header{{Name: "X-Seen", Value: "1"}, {Name: "X-Seen", Value: "2"}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

func TestDenialIsConverted(t *testing.T) {
	for _, c := range []struct{ status, want int }{{401, 401}, {302, 302}, {599, 599}, {0, 403}, {200, 403}, {600, 403}} {
		got := authorizationResult(&authv3.CheckResponse{
			Status: &rpcstatus.Status{Code: int32(codes.PermissionDenied)},
			HttpResponse: &authv3.CheckResponse_DeniedResponse{DeniedResponse: &authv3.DeniedHttpResponse{
				Status:  &typev3.HttpStatus{Code: typev3.StatusCode(c.status)},
				Headers: []*corev3.HeaderValueOption{header("X-Why", "role")},
				Body:    "no",
			}},
		}, nil)
		denial := &node.Response{Status: c.want, Header: http1.Header{{Name: "X-Why", Value: "role"}}, Body: []byte("no")}
		if want := (node.AuthorizationResult{Outcome: authz.Denied, Denial: denial}); !reflect.DeepEqual(got, want) {
			t.Errorf("status %d: %+v, want %+v", c.status, got, want)
		}
	}
}

func TestFailureIsConverted(t *testing.T) {
	for _, c := range []struct {
		err  error
		want authz.Outcome
	}{
		{status.Error(codes.DeadlineExceeded, "late"), authz.TimedOut},
		{status.Error(codes.Unavailable, "unavailable"), authz.Unreachable},
		{errors.New("other"), authz.Unreachable},
		{status.FromContextError(context.DeadlineExceeded).Err(), authz.TimedOut},
	} {
		got := authorizationResult(nil, c.err)
		if want := (node.AuthorizationResult{Outcome: c.want, Detail: "authorization check failed: " + c.err.Error()}); !reflect.DeepEqual(got, want) {
			t.Errorf("%v: %+v, want %+v", c.err, got, want)
		}
	}
}

func TestStatedCacheTTLIsBounded(t *testing.T) {
	for _, c := range []struct {
		milliseconds float64
		want         time.Duration
	}{{-1, 0}, {0, 0}, {0.9, 0}, {250, 250 * time.Millisecond}, {1e18, maxCacheTTL}} {
		if got := cacheTTL(&authv3.CheckResponse{DynamicMetadata: statedTTL(t, c.milliseconds)}); got != c.want {
			t.Errorf("%v ms stated: %v, want %v", c.milliseconds, got, c.want)
		}
	}
	if got := cacheTTL(&authv3.CheckResponse{}); got != 0 {
		t.Errorf("no TTL stated: %v", got)
	}
}
