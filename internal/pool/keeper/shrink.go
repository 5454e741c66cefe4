package keeper

// Shrink closes up to n idle connections, least recently used first, and returns how many it
// closed.
func (k *Keeper) Shrink(n int) int {
	k.mu.Lock()
	n = min(n, len(k.idle))
	c := append([]*Conn(nil), k.idle[:n]...)
	k.idle = append(k.idle[:0], k.idle[n:]...)
	k.open -= n
	k.mu.Unlock()
	for _, v := range c {
		v.Close()
	}
	return n
}
