package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case "memory".
const (
	uploads     = 6
	uploadBytes = 20 << 20
	uploadChunk = 64 << 10
	// rounds is the number of uploads of each consumer, one after the other.
	rounds       = 3
	linkBytes    = 124_000_000 // less than 1,000 Mbit/s
	uploadBudget = 1000 * time.Millisecond
	memoryPoll   = 5 * time.Millisecond
)

// playMemory checks LOST: a machine in touch passes requests from kept connections on
// to a sound backend and closes those connections without an answer. Consumers upload
// large bodies in chunks, at once or, without the trouble, one after the other.
func playMemory(w *world) (bool, error) {
	for i, zone := range []string{"a", "b", "c"} {
		b := w.addBackend(fmt.Sprintf("i-%d", i+1), zone, "intake", 9, 90*time.Millisecond)
		if _, err := w.addDaemon("sidecar-"+zone+"-1", zone, "intake", b.address); err != nil {
			return false, err
		}
	}
	if err := w.declare(7,
		route{prefix: "/status/", kind: "safe", service: "intake", timeout: uploadBudget},
		route{prefix: "/upload/", kind: "upload", service: "intake", timeout: uploadBudget}); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	entry := w.daemons[0]
	stop := make(chan struct{})
	var watch sync.WaitGroup
	var mu sync.Mutex
	peaks := map[string]int64{}
	ends := 0
	for _, d := range w.daemons {
		watch.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(memoryPoll):
				}
				m := d.memory()
				mu.Lock()
				peaks[d.settings.Name] = max(peaks[d.settings.Name], m)
				mu.Unlock()
				if m <= memoryMiB<<20 {
					continue
				}
				w.record.add("platform: daemon %s uses %d MiB of %d and is killed", d.settings.Name, m>>20, memoryMiB)
				d.kill()
				mu.Lock()
				ends++
				mu.Unlock()
				time.Sleep(restartDelay)
				_ = d.start()
			}
		})
	}
	l := w.startLoad(w.daemons[:1], 24, 100*time.Millisecond, http.MethodGet, "/status/", "", uploadBudget)
	time.Sleep(time.Second)
	var group sync.WaitGroup
	for i := range uploads {
		c := &consumer{world: w, daemon: entry, name: fmt.Sprintf("phone-%d", i)}
		rate := linkBytes / uploads
		if !w.trouble {
			rate = linkBytes
		}
		group.Go(func() {
			for range rounds {
				c.upload("/upload/"+c.name, c.nextID(), rate)
			}
		})
		if !w.trouble {
			group.Wait()
		}
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	l.end()
	close(stop)
	watch.Wait()
	ran := map[string]bool{}
	for _, b := range w.backends {
		for _, x := range b.allRuns() {
			ran[x.id] = x.rejected == 0 || ran[x.id]
		}
	}
	lost := 0
	for id, x := range w.sentByID() {
		if x.daemon == entry && x.status == 0 && ran[id] && x.ended.Sub(x.at) < uploadBudget-100*time.Millisecond {
			lost++
			w.record.add("lost: %q had been passed on to a backend, its connection ended without an answer after %v: %v", id, x.ended.Sub(x.at), x.err)
		}
	}
	for name, p := range peaks {
		w.record.say("peak memory of %s: %d MiB of %d", name, p>>20, memoryMiB)
	}
	w.record.say("processes ended over their memory: %d; requests passed on and not answered at %s: %d (rule: 3 at most)", ends, entry.settings.Name, lost)
	return lost > 3, nil
}

// upload sends one body in chunks at a rate in bytes per second, and reads the answer.
func (c *consumer) upload(path, id string, rate int) {
	x := &sent{id: id, daemon: c.daemon, method: http.MethodPost, path: path, at: time.Now()}
	c.world.keepSent(x)
	c.world.record.add("consumer %s uploads %d bytes in chunks as %q to %s", c.name, uploadBytes, id, c.daemon.settings.Name)
	defer c.close()
	end := x.at.Add(uploadBudget)
	x.err = c.connect()
	if x.err == nil {
		_ = c.conn.SetDeadline(end)
		_, x.err = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
			path, host, names.AttemptHeader, id, names.DeadlineHeader, uploadBudget.Milliseconds())
	}
	chunk := make([]byte, uploadChunk)
	for n := 0; n < uploadBytes && x.err == nil; n += len(chunk) {
		due := x.at.Add(time.Duration(float64(n) / float64(rate) * float64(time.Second)))
		time.Sleep(time.Until(due))
		_, x.err = fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	if x.err == nil {
		_, x.err = fmt.Fprint(c.conn, "0\r\n\r\n")
	}
	if x.err == nil {
		x.err = c.read(x)
	}
	x.ended = time.Now()
	c.world.record.add("consumer %s: %q ended after %v: status %d, error %v", c.name, id, x.ended.Sub(x.at), x.status, x.err)
}
