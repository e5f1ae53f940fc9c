package memory

// minBuffer is the number of bytes for which Grow allocates memory first.
const minBuffer = 1 << 10

// Grow returns b with room for n more bytes, but for no more than maxBytes in all, which n must not exceed. It
// doubles what is allocated, so that bytes that only were announced take no memory, and asks reserve for it first.
func Grow(b []byte, n, maxBytes int64, reserve func(bytes int) error) ([]byte, error) {
	needed := int64(len(b)) + n
	if needed <= int64(cap(b)) {
		return b, nil
	}
	size := max(minBuffer, 2*int64(cap(b)))
	for size < needed {
		size *= 2
	}
	size = min(size, maxBytes)
	if err := reserve(int(size) - cap(b)); err != nil {
		return b, err
	}
	return append(make([]byte, 0, size), b...), nil
}
