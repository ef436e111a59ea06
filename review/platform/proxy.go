package main

import (
	"net"
	"time"
)

// delayed returns the address of a proxy to a target over which a packet takes a time one way, as between two zones.
func delayed(target string, oneWay time.Duration) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				time.Sleep(2 * oneWay) // The connection is open after a round trip.
				out, err := net.Dial("tcp", target)
				if err != nil {
					_ = in.Close()
					return
				}
				go forward(out, in, oneWay)
				forward(in, out, oneWay)
			}()
		}
	}()
	return listener.Addr().String()
}

// forward forwards one direction of a connection.
func forward(to, from net.Conn, oneWay time.Duration) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	type piece struct {
		bytes []byte
		at    time.Time
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{buffer[:n], time.Now().Add(oneWay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		if _, err := to.Write(p.bytes); err != nil {
			return
		}
	}
}
