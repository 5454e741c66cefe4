package grouper

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/cuminwick/cuminwick/internal/standin/responder"
)

// BenchmarkPointRead measures prepared point reads from one server over 16 connections.
func BenchmarkPointRead(b *testing.B) {
	s := &responder.Server{Name: "db-1", Address: "127.0.0.1:0"}
	g := &Group{Servers: []*responder.Server{s}}
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	go g.Run(ctx)
	<-g.Ready()
	u := "postgres://anna@" + s.Addr() + "/records?sslmode=disable"
	c, err := pgx.Connect(ctx, u)
	if err != nil {
		b.Fatal(err)
	}
	for _, q := range []string{"CREATE TABLE point (id bigint PRIMARY KEY, v bigint)", "INSERT INTO point SELECT g, g FROM generate_series(1, 1000) g"} {
		if _, err := c.Exec(ctx, q); err != nil {
			b.Fatal(err)
		}
	}
	b.SetParallelism(4)
	b.RunParallel(func(p *testing.PB) {
		c, err := pgx.Connect(ctx, u)
		if err != nil {
			b.Error(err)
			return
		}
		defer c.Close(ctx)
		for i := int64(1); p.Next(); i++ {
			var v int64
			if err := c.QueryRow(ctx, "SELECT v FROM point WHERE id = $1", i%1000+1).Scan(&v); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
