package processtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
)

const (
	// crowdSize is the number of connections of a crowd. It exceeds the descriptor limits of the processes.
	crowdSize = 400
	// sendTimeout bounds the time that a client sends; then its connection stays open.
	sendTimeout = 8 * time.Second
	// reconnectDelay is the time after which a persistent client replaces a connection that was closed.
	reconnectDelay = 100 * time.Millisecond
	// pauseTime is how long a process is stopped while late clients send.
	pauseTime = 2 * time.Second
	// connectInterval is the time between the connections of late clients, in which the process accepts them.
	connectInterval = 2 * time.Millisecond
	// holdTime is how long the connections stay open before the process is checked, so that it reads what was sent.
	holdTime = time.Second
	// bodyBytes is a legal body size, close to the limit of 262,144 bytes.
	bodyBytes = 255 << 10
	// oneByteChunks is the number of one-byte chunks that a client sends.
	oneByteChunks = 48 << 10
	// missingBytes is how far from its end a body stops.
	missingBytes = 8
	// finishedShare is the share of clients, one in so many, that send their body whole.
	finishedShare = 10
)

// limitsOfEntry and limitsOfControl are about a third and a quarter of the memory of the deployments' instances.
// A crowd of full bodies needs 100 MiB.
var (
	limitsOfEntry   = limits{memoryMiB: 64, descriptors: 256}
	limitsOfControl = limits{memoryMiB: 96, descriptors: 384}
	limitsOfNode    = limits{memoryMiB: 64, descriptors: 256}
	// limitsOfControlWithJobs are about half of those of the instances, as jobs are not smaller here.
	limitsOfControlWithJobs = limits{memoryMiB: 128, descriptors: 384}
)

// manyDescriptors is that of the deployments' instances, of whom late clients open as many as the memory allows.
const manyDescriptors = 4096

// target is the request that a crowd begins, and the ordinary request that is sent afterwards.
type target struct {
	address  string
	request  string // request line and headers without the end of the header
	ordinary call
	status   int
}

// crowd describes clients that exceed the limits; send sends the bytes of the n-th client.
type crowd struct {
	name string
	send func(c net.Conn, tg target, n int) error
	// size is the number of clients; 0 means crowdSize.
	size int
	// persistent is whether a client whose connection is closed opens another one.
	persistent bool
	// slow is whether the process has less of the processor than its senders.
	slow bool
	// late is whether all clients connect before one of them sends, and the process is stopped while they send.
	late bool
}

var crowds = []crowd{
	{name: "headers", send: sendHeader},
	{name: "empty-lines", send: sendEmptyLines},
	{name: "bodies", send: sendBody},
	{name: "chunks", send: sendChunks},
	{name: "together", send: func(c net.Conn, tg target, n int) error {
		return []func(net.Conn, target, int) error{sendHeader, sendEmptyLines, sendBody, sendChunks}[n%4](c, tg, n/4)
	}},
}

// persistentCrowd sends bodies whole and in pieces and chunks of both sizes, faster than the process reads them, on more
// connections than it accepts.
var persistentCrowd = crowd{
	name: "persistent", size: 800, persistent: true, slow: true,
	send: func(c net.Conn, tg target, n int) error {
		return []func(net.Conn, target, int) error{sendBody, sendChunks}[n%2](c, tg, n/2)
	},
}

var (
	filler     = bytes.Repeat([]byte("x"), 64<<10)
	emptyLines = bytes.Repeat([]byte("\r\n"), 8<<10)
	manySteps  = fmt.Appendf(nil, `{"steps":[{}%s]}`, strings.Repeat(",{}", 80000))
	chunks     = bytes.Repeat([]byte("1\r\nx\r\n"), 1024)
)

// lateCrowd sends bodies and chunks on connections that the process has accepted before.
var lateCrowd = crowd{name: "late", size: 800, late: true, send: persistentCrowd.send}

// jobCrowd sends whole jobs through several entry processes to a control process that is slower than they are.
var jobCrowd = crowd{name: "jobs", size: 100, persistent: true, send: sendJob}

// jobSteps is the number of steps of a job of the crowd, close to the limit of 10,000.
const jobSteps = 9000

var (
	largeJob = fmt.Sprintf(`{"steps":[{"count":1,"cpu":1}%s]}`, strings.Repeat(`,{"count":1,"cpu":1}`, jobSteps-1))
	lastJob  atomic.Int64
)

// sendJob sends a job of legal size that was not sent before. Its connection ends with the response.
func sendJob(c net.Conn, tg target, _ int) error {
	request := strings.Replace(tg.request, jobID, fmt.Sprintf("%016x", lastJob.Add(1)), 1)
	return sendAll(c, fmt.Appendf(nil, "%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", request, len(largeJob), largeJob))
}

// sendHeader sends a header of 2 MiB that does not end: a third of the clients in one line, a third in lines of 1 KiB;
// the others end it after 900 KiB, which is within the default of net/http.
func sendHeader(c net.Conn, tg target, n int) error {
	if err := sendAll(c, []byte(tg.request)); err != nil {
		return err
	}
	if n%3 == 0 {
		if err := sendAll(c, []byte("X-Long: ")); err != nil {
			return err
		}
		return repeat(2<<20/len(filler), func(int) error { return sendAll(c, filler) })
	}
	lines := 2 << 10
	if n%3 == 1 {
		lines = 900
	}
	err := repeat(lines, func(i int) error { return sendAll(c, fmt.Appendf(nil, "X-Line-%d: %s\r\n", i, filler[:1024])) })
	if err == nil && n%3 == 1 {
		err = sendAll(c, []byte("\r\n"))
	}
	return err
}

func sendEmptyLines(c net.Conn, _ target, _ int) error {
	return repeat(64, func(int) error { return sendAll(c, emptyLines) })
}

// sendBody sends a body of legal size that mostly stops short of its end, in one write or in pieces of 4 KiB.
func sendBody(c net.Conn, tg target, n int) error {
	header := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", tg.request, bodyBytes)
	if err := sendAll(c, []byte(header)); err != nil {
		return err
	}
	left, piece := bodyBytes, len(filler)
	if n%finishedShare != 0 {
		left -= missingBytes
	}
	if n%2 == 0 {
		piece = 4 << 10
	}
	for left > 0 {
		if err := sendAll(c, filler[:min(piece, left)]); err != nil {
			return err
		}
		left -= min(piece, left)
	}
	return nil
}

// sendChunks sends a chunked body of legal size that mostly has no end, in chunks of 32 KiB or of one byte.
func sendChunks(c net.Conn, tg target, n int) error {
	if err := sendAll(c, []byte(tg.request+"Transfer-Encoding: chunked\r\n\r\n")); err != nil {
		return err
	}
	var err error
	if n%2 == 0 {
		err = repeat(oneByteChunks*6/len(chunks), func(int) error { return sendAll(c, chunks) })
	} else {
		chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", 32<<10, filler[:32<<10])
		err = repeat(7, func(int) error { return sendAll(c, chunk) })
	}
	if err == nil && n%finishedShare == 0 {
		err = sendAll(c, []byte("0\r\n\r\n"))
	}
	return err
}

// sendSteps sends whole bodies of legal size whose decoded form is a hundred times as large.
func sendSteps(c net.Conn, tg target, _ int) error {
	if err := sendAll(c, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", tg.request, len(manySteps))); err != nil {
		return err
	}
	return sendAll(c, manySteps)
}

func sendAll(c net.Conn, data []byte) error {
	_, err := c.Write(data)
	return err
}

func repeat(n int, f func(i int) error) error {
	for i := range n {
		if err := f(i); err != nil {
			return err
		}
	}
	return nil
}

// play opens the connections of the crowd and returns once all have sent what the process takes. They stay open until
// the end of the test, and their responses are not read.
func (cr crowd) play(t *testing.T, tg target) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	size := cr.size
	if size == 0 {
		size = crowdSize
	}
	end := time.Now().Add(sendTimeout)
	attempt := func(n int) {
		c, err := net.DialTimeout("tcp", tg.address, time.Until(end))
		if err != nil {
			return // the process may refuse connections
		}
		// The process may close the connection or stop reading.
		if c.SetDeadline(end) == nil && cr.send(c, tg, n) == nil && cr.persistent {
			_, _ = io.Copy(io.Discard, c)
		}
		if cr.persistent && time.Until(end) > reconnectDelay {
			_ = c.Close() // the process has closed it
			return
		}
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, c)
	}
	for n := range size {
		group.Go(func() {
			attempt(n)
			for cr.persistent && time.Until(end) > reconnectDelay {
				time.Sleep(reconnectDelay)
				attempt(n)
			}
		})
	}
	group.Wait()
	t.Cleanup(func() {
		for _, c := range conns {
			_ = c.Close() // the process may have closed it
		}
	})
}

// playLate opens the connections of a late crowd and lets them send while the process is stopped. They stay open until
// the end of the test.
func (cr crowd) playLate(t *testing.T, p *process, tg target) {
	var conns []net.Conn
	for range cr.size {
		c, err := net.DialTimeout("tcp", tg.address, sendTimeout)
		if err != nil {
			break // the process may refuse connections
		}
		conns = append(conns, c)
		time.Sleep(connectInterval)
	}
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
	end := time.Now().Add(pauseTime)
	var group sync.WaitGroup
	for n, c := range conns {
		group.Go(func() {
			if c.SetWriteDeadline(end) == nil {
				_ = cr.send(c, tg, n) // the process may have closed the connection
			}
		})
	}
	group.Wait()
	time.Sleep(time.Until(end))
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGCONT))
	t.Cleanup(func() {
		for _, c := range conns {
			_ = c.Close() // the process may have closed it
		}
	})
}

// bearWith plays a crowd against a process and checks the process and the ordinary request.
func (cr crowd) bearWith(t *testing.T, p *process, tg target) {
	t.Helper()
	tg.ordinary.await(t, tg.status, startTimeout)
	p.check("before the crowd")
	switch {
	case cr.late:
		cr.playLate(t, p, tg)
	case cr.slow:
		p.slowDown(entryTurn)
		fallthrough
	default:
		cr.play(t, tg)
	}
	time.Sleep(holdTime)
	p.check("after the crowd")
	tg.ordinary.await(t, tg.status, answerTimeout)
	p.check("after the ordinary request")
}

// jobID is the ID of the job in the requests to an entry process.
const jobID = "0123456789abcdef"

// entryTarget is the address for clients of an entry process, or another one of its addresses.
func entryTarget(p *process, port int) target {
	tg := target{address: p.address(port), request: "POST / HTTP/1.1\r\nHost: h\r\n", status: http.StatusOK}
	tg.ordinary = call{method: http.MethodGet, url: p.url(port, "/")}
	if port == servePort {
		tg.request = "POST /a/" + jobID + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n"
		tg.ordinary = call{method: http.MethodGet, url: p.url(port, "/a/"), host: "h", key: "k1"}
	}
	return tg
}

// controlTarget is the address for workers and operators of a control process.
func controlTarget(p *process, path string) target {
	return target{
		address: p.address(servePort), status: http.StatusOK,
		request:  "POST " + path + " HTTP/1.1\r\nHost: h\r\n",
		ordinary: call{method: http.MethodGet, url: p.url(servePort, "/Config.Read")},
	}
}

// nodeTarget is one of the addresses of a process of the subcommand node.
func nodeTarget(p *process, key string, port int, request string) target {
	ordinary, status := call{method: http.MethodGet, url: p.url(callerPort, "/jobs/none"), key: key}, http.StatusNotFound
	switch port {
	case endpointPort:
		ordinary = call{method: http.MethodPost, url: p.url(endpointPort, "/announce"), body: `{"instance":"worker-1",
			"address":"127.0.0.1:9","incarnation":1,"sequence":1,"state":"ready","running":0}`}
		status = http.StatusOK
	case operatorPort:
		ordinary, status = call{method: http.MethodGet, url: p.url(operatorPort, "/metrics")}, http.StatusOK
	}
	header := []string{
		"Host: h", "Authorization: Bearer " + key, operator.HeaderOperationID + ": crowd", operator.HeaderBaseVersion + ": 1",
	}
	return target{
		address: p.address(port), request: request + strings.Join(header, "\r\n") + "\r\n", ordinary: ordinary,
		status: status,
	}
}

// Guards against an entry process that runs out of memory or descriptors because of what clients send.
func TestEntryProcessBearsCrowds(t *testing.T) {
	control := startControl(t, limits{memoryMiB: 400, descriptors: 4096})
	for _, cr := range append([]crowd{{name: "steps", send: sendSteps}, persistentCrowd}, crowds...) {
		t.Run(cr.name, func(t *testing.T) {
			p := startServe(t, "front", newAddress(), control.ip, limitsOfEntry)
			cr.bearWith(t, p, entryTarget(p, servePort))
		})
	}
	for _, tt := range []struct {
		name string
		port int
	}{{"readiness", readyPort}, {"metrics", entryMetricsPort}} {
		t.Run(tt.name, func(t *testing.T) {
			p := startServe(t, "front", newAddress(), control.ip, limitsOfEntry)
			crowds[len(crowds)-1].bearWith(t, p, entryTarget(p, tt.port))
		})
		t.Run(tt.name+"/persistent", func(t *testing.T) {
			p := startServe(t, "front", newAddress(), control.ip, limitsOfEntry)
			persistentCrowd.bearWith(t, p, entryTarget(p, tt.port))
		})
	}
}

// Guards against a control process that runs out of memory or descriptors because of what is sent to the address for
// workers and operators.
func TestControlProcessBearsCrowds(t *testing.T) {
	for _, tt := range []struct{ name, path string }{
		{"configuration", "/Config.Replace"}, {"heartbeat", "/Instances.Heartbeat/i-1"},
	} {
		for _, cr := range append([]crowd{persistentCrowd}, crowds...) {
			t.Run(tt.name+"/"+cr.name, func(t *testing.T) {
				p := startControl(t, limitsOfControl)
				cr.bearWith(t, p, controlTarget(p, tt.path))
			})
		}
	}
}

// Guards against a process of the subcommand node that runs out of memory or descriptors because of what callers,
// endpoints and operators send.
func TestNodeBearsCrowds(t *testing.T) {
	last := crowds[len(crowds)-1]
	for _, tt := range []struct {
		name    string
		port    int
		request string
		crowds  []crowd
	}{
		{"callers", callerPort, "PUT /queues/" + nodeQueue + "/x HTTP/1.1\r\n", append([]crowd{persistentCrowd}, crowds...)},
		{"jobs", callerPort, "POST /jobs HTTP/1.1\r\n", append([]crowd{persistentCrowd}, crowds[2:]...)},
		{"endpoints", endpointPort, "POST /announce HTTP/1.1\r\n", []crowd{last, persistentCrowd}},
		{"operators", operatorPort, "PUT /configuration HTTP/1.1\r\n", []crowd{last, persistentCrowd}},
	} {
		for _, cr := range tt.crowds {
			t.Run(tt.name+"/"+cr.name, func(t *testing.T) {
				p, key := startNode(t, limitsOfNode)
				cr.bearWith(t, p, nodeTarget(p, key, tt.port, tt.request))
			})
		}
	}
}

// Guards against connections that take more memory than they were counted with once their clients send, while the process
// is suspended.
func TestSuspendedProcessesBearCrowds(t *testing.T) {
	control := startControl(t, limits{memoryMiB: 400, descriptors: 4096})
	for _, tt := range []struct {
		name  string
		start func(t *testing.T) (*process, target)
	}{
		{"entry", func(t *testing.T) (*process, target) {
			p := startServe(t, "front", newAddress(), control.ip, limitsOfEntry.with(manyDescriptors))
			return p, entryTarget(p, servePort)
		}},
		{"control", func(t *testing.T) (*process, target) {
			p := startControl(t, limitsOfControl.with(manyDescriptors))
			return p, controlTarget(p, "/Config.Replace")
		}},
		{"node", func(t *testing.T) (*process, target) {
			p, key := startNode(t, limitsOfNode.with(manyDescriptors))
			return p, nodeTarget(p, key, callerPort, "PUT /queues/"+nodeQueue+"/x HTTP/1.1\r\n")
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, tg := tt.start(t)
			lateCrowd.bearWith(t, p, tg)
		})
	}
}

// Guards against a control process that runs out of memory because of the jobs that several entry processes pass on.
func TestControlProcessBearsJobsOfCrowds(t *testing.T) {
	control := startControl(t, limitsOfControlWithJobs)
	var entries []*process
	for range 8 {
		p := startServe(t, "front", newAddress(), control.ip, limitsOfEntry)
		tg := entryTarget(p, servePort)
		tg.ordinary.await(t, tg.status, startTimeout)
		entries = append(entries, p)
	}
	control.check("before the crowd")
	control.slowDown(controlTurn)
	var group sync.WaitGroup
	for _, p := range entries {
		group.Go(func() { jobCrowd.play(t, entryTarget(p, servePort)) })
	}
	group.Wait()
	time.Sleep(holdTime)
	control.check("after the crowd")
	for _, p := range entries {
		p.check("after the crowd")
		tg := entryTarget(p, servePort)
		tg.ordinary.await(t, tg.status, answerTimeout)
	}
	control.check("after the ordinary requests")
}
