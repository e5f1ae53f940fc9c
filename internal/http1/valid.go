package http1

import "net/textproto"

// Valid reports whether a field can be written to a message unchanged.
func (f Field) Valid() bool {
	if !isToken(f.Name) {
		return false
	}
	for i := range len(f.Value) {
		if c := f.Value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return textproto.TrimString(f.Value) == f.Value
}

// Settable reports whether another party (an authorizer) may set a field of a forwarded message.
// It may not set the fields that determine the framing, the destination, or apply to one
// connection only.
func (f Field) Settable() bool {
	name := textproto.CanonicalMIMEHeaderKey(f.Name)
	return f.Valid() && !hopByHop[name] && name != "Content-Length" && name != "Host"
}
