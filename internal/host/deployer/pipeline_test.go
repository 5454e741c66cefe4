package deployer_test

import (
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
)

// Guards against statement names that stay in use after a failed Parse. A statement fails to parse,
// for instance because its table does not exist yet, and the driver prepares it again under the
// same name once the table exists.
func TestPrepareAgainAfterError(t *testing.T) {
	d := start(t)
	c := connect(t, d, 0, "")
	const q = "INSERT INTO later (id) VALUES ($1)"
	for range 2 {
		if _, err := c.Prepare(t.Context(), "mine", q); code(err) != "42P01" {
			t.Fatalf("prepare without the table: %v", err)
		}
	}
	exec(t, c, "CREATE TABLE later (id bigint PRIMARY KEY)")
	if _, err := c.Prepare(t.Context(), "mine", q); err != nil {
		t.Fatalf("prepare with the table: %v", err)
	}
	exec(t, c, "mine", 1)
}

// Guards against a hang after an error in a pipeline. A driver sends statements in a pipeline,
// requests the results so far, and sends more although one has failed. Servers skip all messages up
// to the end of the pipeline; a proxy that waited for responses to skipped messages would hang.
func TestPipelineAfterError(t *testing.T) {
	d := start(t)
	c := connect(t, d, 0, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	p := c.PgConn().StartPipeline(t.Context())
	p.SendQueryParams("INSERT INTO t (id) VALUES (1)", nil, nil, nil, nil)
	p.SendQueryParams("SELECT * FROM nowhere", nil, nil, nil, nil)
	p.SendFlushRequest()
	if err := p.Flush(); err != nil {
		t.Fatal(err)
	}
	r, err := p.GetResults()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.(*pgconn.ResultReader).Close(); err != nil {
		t.Fatalf("first statement: %v", err)
	}
	if _, err := p.GetResults(); code(err) != "42P01" {
		t.Fatalf("second statement: %v", err)
	}
	p.SendQueryParams("INSERT INTO t (id) VALUES (2)", nil, nil, nil, nil)
	if err := p.Sync(); err != nil {
		t.Fatal(err)
	}
	if err := p.Close(); err != nil && code(err) != "42P01" {
		t.Fatalf("end of the pipeline: %v", err)
	}
	if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 0 {
		t.Errorf("%d rows of a pipeline that failed", n)
	}
}

// Guards against results that are kept back after a Flush, and against ones that are missing. A driver
// requests the results of each statement of a pipeline before it sends the next one.
func TestPipelineOfFlushes(t *testing.T) {
	d := start(t)
	c := connect(t, d, 0, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	p := c.PgConn().StartPipeline(t.Context())
	for i, q := range []string{"INSERT INTO t (id) VALUES (1)", "SELECT id FROM t", "INSERT INTO t (id) VALUES (2)", "SELECT id FROM t"} {
		p.SendQueryParams(q, nil, nil, nil, nil)
		p.SendFlushRequest()
		if err := p.Flush(); err != nil {
			t.Fatal(err)
		}
		r, err := p.GetResults()
		if err != nil {
			t.Fatalf("statement %d: %v", i, err)
		}
		if v := r.(*pgconn.ResultReader).Read(); v.Err != nil || i%2 == 1 && len(v.Rows) != (i+1)/2 {
			t.Errorf("statement %d: %d rows, %v", i, len(v.Rows), v.Err)
		}
	}
	if err := p.Sync(); err != nil {
		t.Fatal(err)
	}
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
	if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 2 {
		t.Errorf("%d rows, want 2", n)
	}
}
