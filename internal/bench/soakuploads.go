package bench

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Paths of a soak whose servers take long bodies.
const (
	uploadPath = "upload" // the server runs a request once it has the whole body
	earlyPath  = "early"  // the server runs a request, and answers it, once it has the header
	longPath   = "long"   // the response is long
)

const (
	sealHeader = "X-Server-Seal"

	uploadGap      = 100 * time.Millisecond
	uploadPieces   = 40
	uploadDeadline = 9 * time.Second
	longPause      = 3300 * time.Millisecond // longer than a gateway waits for a piece
	pausingID      = "pause-"                // what the IDs of requests begin with whose client pauses for so long
	longSize       = 300 << 10               // bytes of a long response
	responsePause  = 1500 * time.Millisecond // of a server in the middle of a response, at most
	longReadPiece  = 16 << 10
)

// uploadSizes are lengths of bodies: buffered by a gateway, at the limit of that, and streamed.
var uploadSizes = []int{3000, 24000, 64 << 10, 65<<10 + 1, 200 << 10, 480 << 10}

// upload is a request whose body comes in pieces.
type upload struct {
	path, id   string
	size       int
	chunked    bool
	pieceEvery time.Duration
	pauseAfter int // pieces; 0: it never pauses for longPause
	halfClose  bool
}

// drawUpload draws the upload of a caller's turn.
func drawUpload(rng *rand.Rand, id string) upload {
	u := upload{path: uploadPath, id: id, size: uploadSizes[rng.IntN(len(uploadSizes))], chunked: rng.IntN(3) == 0,
		pieceEvery: time.Duration(rng.IntN(75)) * time.Millisecond}
	switch rng.IntN(8) {
	case 0:
		u.path = earlyPath
	case 1:
		u.pauseAfter, u.id = 1+rng.IntN(uploadPieces-1), pausingID+id
	case 2:
		u.halfClose = true
	case 3:
		u.path = longPath
	}
	return u
}

// uploadResult is what became of an upload.
type uploadResult struct {
	upload
	node   string
	at     time.Time
	took   time.Duration
	status int    // 0: no complete response
	sealed bool   // the response has a server's seal
	whole  bool   // its body is what the server sent
	sent   bool   // the client has sent all of its body
	dialed bool   // the connection was established
	error  string // why there is no complete response
}

// uploadContent is the body of a request, and expectedResponse that of its server's response.
func (u upload) content() []byte { return bytes.Repeat([]byte("u"), u.size) }

func expectedResponse(path, id string) []byte {
	if path == longPath {
		return bytes.Repeat([]byte(id+"\n"), longSize/(len(id)+1))
	}
	return []byte(id + " ran")
}

// header returns the request up to its body.
func (u upload) header() string {
	framing := fmt.Sprintf("Content-Length: %d", u.size)
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: toy.example\r\nAuthorization: Bearer key-other\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n\r\n",
		u.path, u.id, uploadDeadline.Milliseconds(), framing)
}

// send writes the body piece by piece.
func (u upload) send(conn net.Conn) bool {
	body := u.content()
	for sent, piece := 0, max(1, u.size/uploadPieces); len(body) > 0; sent++ {
		if u.pauseAfter > 0 && sent == u.pauseAfter {
			time.Sleep(longPause)
		}
		n := min(piece, len(body))
		wire := body[:n]
		if u.chunked {
			wire = append(append(fmt.Appendf(nil, "%x\r\n", n), wire...), "\r\n"...)
		}
		if _, err := conn.Write(wire); err != nil {
			return false
		}
		body = body[n:]
		time.Sleep(u.pieceEvery)
	}
	if u.chunked {
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return false
		}
	}
	if half, ok := conn.(*net.TCPConn); ok && u.halfClose {
		half.CloseWrite()
	}
	return true
}

// play sends an upload on a connection of its own, and reads the response as soon as it comes.
func (u upload) play(addr, node string) uploadResult {
	r := uploadResult{upload: u, node: node, at: time.Now()}
	defer func() { r.took = time.Since(r.at) }()
	conn, err := net.DialTimeout("tcp", addr, lineTime)
	if err != nil {
		r.error = err.Error()
		return r
	}
	defer conn.Close()
	r.dialed = true
	conn.SetDeadline(r.at.Add(uploadDeadline + lineTime))
	if _, err := io.WriteString(conn, u.header()); err != nil {
		r.error = err.Error()
		return r
	}
	sent := make(chan bool, 1)
	go func() { sent <- u.send(conn) }()
	err = r.receive(conn)
	r.took = time.Since(r.at)
	if err != nil {
		r.error = err.Error()
	}
	conn.Close()
	r.sent = <-sent
	return r
}

// receive reads the response; a long one slowly.
func (r *uploadResult) receive(conn net.Conn) error {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	var body bytes.Buffer
	for err == nil {
		_, err = io.CopyN(&body, response.Body, longReadPiece)
		if r.path == longPath {
			time.Sleep(r.pieceEvery)
		}
	}
	if err != io.EOF {
		return err
	}
	r.status, r.sealed = response.StatusCode, response.Header.Get(sealHeader) != ""
	r.whole = bytes.Equal(body.Bytes(), expectedResponse(r.path, r.id))
	return nil
}

// uploadAlways sends uploads at each process, one after the other, and returns what became of them.
func (s *soak) uploadAlways(d time.Duration, seed uint64) (all []uploadResult) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for k, n := range s.nodes {
		rng := rand.New(rand.NewPCG(seed, uint64(k)))
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				r := drawUpload(rng, fmt.Sprintf("upload-%d-%s-%d", seed, n.name, i)).play(n.ingress(), n.name)
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
				time.Sleep(uploadGap)
			}
		})
	}
	wg.Wait()
	return all
}

// soakServer is a server of a soak: like toy, but it seals its responses and tells how long the bodies were that it ran.
func (s *soak) soakServer(name string) http.HandlerFunc {
	plain := toy(name, s.arrived)
	return func(w http.ResponseWriter, r *http.Request) {
		path := r.URL.Path[min(1, len(r.URL.Path)):]
		if path != uploadPath && path != earlyPath && path != longPath && path != abandonedPath {
			plain(w, r)
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		w.Header().Set("X-Attempt-Id", id)
		if to := r.Header.Get("X-Target-Instance"); to != "" && to != name {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if path == earlyPath {
			s.arrived(r) // it has begun, whatever becomes of the body
		} else if n, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler) // a body that broke off is not run
		} else {
			s.arrived(r)
			s.ranWith(id, n)
		}
		if path == abandonedPath {
			s.workAbandoned(r)
		}
		response := expectedResponse(path, id)
		w.Header().Set(sealHeader, "seal of "+id)
		w.Header().Set("Content-Length", fmt.Sprint(len(response)))
		s.writeWithPause(w, id, response)
	}
}

// writeWithPause writes a response; some servers pause in the middle of it, by the request's ID.
func (s *soak) writeWithPause(w http.ResponseWriter, id string, response []byte) {
	hash := fnv.New32a()
	io.WriteString(hash, id)
	if drawn := hash.Sum32(); drawn%3 == 0 {
		half := len(response) / 2
		w.Write(response[:half])
		http.NewResponseController(w).Flush()
		time.Sleep(time.Duration(drawn%1000) * responsePause / 1000)
		response = response[half:]
	}
	w.Write(response)
}

// ranWith notes the length of the body with which a request ran.
func (s *soak) ranWith(id string, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodySizes[id] = size
}
