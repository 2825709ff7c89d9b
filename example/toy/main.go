// Command toy plays what a gateway needs round it, on loopback: two servers,
// discovery, the counter and a name server. It is for trying the gateway out, not
// for load.
package main

import (
	"log"
	"time"

	"asterwell/internal/standin/counter"
	"asterwell/internal/standin/dns"
	"asterwell/internal/standin/list"
	"asterwell/internal/standin/server"
)

// The name server knows both servers; the gateway asks it if example/srv.json is on.
const zone = `
on SRV _noms._tcp.example.org
  answer _noms._tcp.example.org. 5 IN SRV 1 10 8081 s1.example.org.
  answer _noms._tcp.example.org. 5 IN SRV 1 10 8082 s2.example.org.
  additional s1.example.org. 5 IN A 127.0.0.1
  additional s2.example.org. 5 IN A 127.0.0.1
`

func main() {
	must := func(err error) {
		if err != nil {
			log.Fatal(err)
		}
	}
	for _, addr := range []string{"127.0.0.1:8081", "127.0.0.1:8082"} {
		_, err := server.Listen(addr, server.Options{Name: addr, Keep: 100, Log: func(text string) { log.Print(text) },
			Work: func() time.Duration { return 50 * time.Millisecond }})
		must(err)
	}
	_, err := list.Listen("127.0.0.1:8500", list.New(
		list.Entry{ID: "s-1", Addr: "127.0.0.1:8081", Zone: "room-a", Kind: "toy", State: "up", Weight: 1},
		list.Entry{ID: "s-2", Addr: "127.0.0.1:8082", Zone: "room-b", Kind: "toy", State: "up", Weight: 1}))
	must(err)
	_, err = counter.Listen("127.0.0.1:6400")
	must(err)
	_, err = dns.Listen("127.0.0.1:5353", dns.MustParse(zone))
	must(err)
	select {}
}
