package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// path is the way of one entry host to one instance. While it is cut, new connections are refused and the
// open ones are reset.
type path struct {
	to      string
	address string

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]struct{}
}

func (p *path) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := listenAt(p.address)
	if err != nil {
		return err
	}
	p.listener, p.address, p.open = l, l.Addr().String(), make(map[net.Conn]struct{})
	go p.accept(l)
	return nil
}

// cut ends the path. heal is listen.
func (p *path) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	for c := range p.open {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (p *path) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.relay(c)
	}
}

func (p *path) relay(c net.Conn) {
	defer c.Close()
	d, err := net.DialTimeout("tcp4", p.to, time.Second)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	defer d.Close()
	p.mu.Lock()
	p.open[c], p.open[d] = struct{}{}, struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go copyTo(d, c, done)
	go copyTo(c, d, done)
	<-done
	c.Close()
	d.Close()
	<-done
	p.mu.Lock()
	delete(p.open, c)
	delete(p.open, d)
	p.mu.Unlock()
}

func copyTo(to, from net.Conn, done chan<- struct{}) {
	_, _ = io.Copy(to, from)
	done <- struct{}{}
}
