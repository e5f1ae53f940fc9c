package http1

import "net/textproto"

// Valid tells whether a field may be put on the wire as it is.
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

// Settable tells whether another party (an authoriser) may set a field of a
// forwarded message: not what frames it, says where it goes or holds for one
// connection only.
func (f Field) Settable() bool {
	name := textproto.CanonicalMIMEHeaderKey(f.Name)
	return f.Valid() && !hopByHop[name] && name != "Content-Length" && name != "Host"
}
