package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of PROTOCOL.md and of the deployments' sheets.
const (
	heartbeat       = 1200 * time.Millisecond
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	maxRetransmits  = 8
	slots           = 2
	maxFlows        = 2000
	workTime        = 5 * time.Millisecond
)

// endpointFlow is a flow that an endpoint holds.
type endpointFlow struct {
	client       netip.AddrPort
	service      netip.AddrPort
	echo         uint32
	clientISN    uint32
	next, expect uint32
	isOpen       bool
	// unacked is the response that the client has not acknowledged yet.
	unacked []byte
	sends   int
	resend  *time.Timer
}

// endpoint runs requests and registers itself in the store. It is a process of its own, so that a signal
// can end it.
type endpoint struct {
	id, service, zone, store string
	instance                 uint64
	born                     int64
	address                  netip.AddrPort
	callerPort               uint16
	socket                   *net.UDPConn
	slots                    chan struct{}

	mu    sync.Mutex
	flows map[netip.AddrPort]*endpointFlow
	log   *json.Encoder
}

// endpointEvent is a line of an endpoint's log.
type endpointEvent struct {
	AtMS   int64  `json:"at_ms"`
	ID     string `json:"id"`
	What   string `json:"what"`
	Client string `json:"client,omitempty"`
	Run    string `json:"run,omitempty"`
}

func runEndpoint(args []string) error {
	flags := flag.NewFlagSet("endpoint", flag.ExitOnError)
	e := &endpoint{flows: map[netip.AddrPort]*endpointFlow{}, slots: make(chan struct{}, slots)}
	flags.StringVar(&e.id, "id", "", "ID, with hexadecimal digits")
	flags.StringVar(&e.service, "service", "", "name of the service")
	flags.StringVar(&e.zone, "zone", "", "zone")
	flags.StringVar(&e.store, "store", "", "IP:port of the store")
	address := flags.String("address", "", "IP:port on which to listen")
	port := flags.Uint("client-port", 0, "port at which clients receive packets")
	first := flags.Duration("first-heartbeat", 0, "time from the start to the first heartbeat")
	logFile := flags.String("log", "", "file to which events are appended")
	if err := flags.Parse(args); err != nil {
		return err
	}
	var err error
	if e.address, err = netip.ParseAddrPort(*address); err != nil {
		return err
	}
	if e.instance, err = strconv.ParseUint(strings.TrimPrefix(e.id, "i-"), 16, 64); err != nil {
		return err
	}
	e.callerPort = uint16(*port)
	out, err := os.OpenFile(*logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	e.log = json.NewEncoder(out)
	if e.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.address)); err != nil {
		return err
	}
	health, err := net.Listen("tcp4", *address)
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(health, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Instance-Id", e.id)
		}))
	}()
	e.born = time.Now().UnixMilli()
	e.record("start", netip.AddrPort{}, "")
	go e.beat(*first)
	b := make([]byte, 2048)
	for {
		n, err := e.socket.Read(b)
		if err != nil {
			return err
		}
		e.receive(b[:n])
	}
}

// beat writes the entry once for each heartbeat interval.
func (e *endpoint) beat(first time.Duration) {
	time.Sleep(first)
	for seq := 1; ; seq++ {
		spec, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address.String(), "zone": e.zone, "version": "v1", "slots": slots,
			"state": "ready", "cold_remaining_ms": 0, "seq": seq, "born": e.born,
		})
		body, _ := json.Marshal(object{Meta: meta{Name: e.id, Finalizers: []string{}}, Spec: spec, Status: []byte("null")})
		request, _ := http.NewRequest(http.MethodPut, "http://"+e.store+"/api/objects/servers/"+e.id, bytes.NewReader(body))
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
			if seq == 1 {
				e.record("registered", netip.AddrPort{}, "")
			}
		}
		time.Sleep(heartbeat)
	}
}

func (e *endpoint) record(what string, client netip.AddrPort, run string) {
	event := endpointEvent{AtMS: time.Now().UnixMilli(), ID: e.id, What: what, Run: run}
	if client.IsValid() {
		event.Client = client.String()
	}
	_ = e.log.Encode(event)
}

func (e *endpoint) send(f *endpointFlow, p packet) {
	p.src, p.dst, p.echo = f.service, f.client, f.echo
	_, _ = e.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(f.client.Addr(), e.callerPort))
}

func (e *endpoint) receive(b []byte) {
	if len(b) < envelopeBytes {
		return
	}
	instance := binary.BigEndian.Uint64(b)
	p, wellFormed, genuine := decode(b[envelopeBytes:])
	if !wellFormed || instance != 0 && instance != e.instance {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !genuine {
		e.record("forged", p.src, "")
		return
	}
	e.handle(p)
}

// handle handles a packet that is intended for this endpoint. The caller holds e.mu.
func (e *endpoint) handle(p packet) {
	f := e.flows[p.src]
	if p.flags&flagSYN != 0 {
		if f == nil && len(e.flows) >= maxFlows {
			return
		}
		if f == nil || f.clientISN != p.seq {
			f = &endpointFlow{client: p.src, service: p.dst, clientISN: p.seq, next: rand.Uint32(), expect: p.seq + 1}
			e.flows[p.src] = f
		}
		f.echo = p.echo
		if !f.isOpen {
			e.send(f, packet{seq: f.next, ack: f.expect, flags: flagSYN | flagACK})
		}
		return
	}
	if f == nil || !f.isOpen && p.ack != f.next+1 {
		if p.flags&flagRST != 0 {
			return
		}
		if p.flags&flagFIN != 0 && f == nil {
			e.send(&endpointFlow{client: p.src, service: p.dst, echo: p.echo}, packet{seq: p.ack, ack: p.seq + 1, flags: flagACK})
			return
		}
		e.record("reset", p.src, "")
		e.send(&endpointFlow{client: p.src, service: p.dst, echo: p.echo}, packet{seq: p.ack, flags: flagRST})
		return
	}
	f.echo = p.echo
	switch {
	case p.flags&flagRST != 0:
		e.drop(f)
		return
	case p.flags&flagFIN != 0:
		e.send(f, packet{seq: f.next, ack: p.seq + 1, flags: flagFIN | flagACK})
		e.drop(f)
		return
	}
	if !f.isOpen {
		f.isOpen = true
		f.next++
		e.record("open", p.src, "")
	}
	if len(f.unacked) > 0 && p.ack == f.next+uint32(len(f.unacked)) {
		f.next, f.unacked = p.ack, nil
		f.resend.Stop()
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq == f.expect {
		f.expect += uint32(len(p.data))
		go e.run(f, string(p.data))
	}
	e.send(f, packet{seq: f.next, ack: f.expect, flags: flagACK})
}

// drop forgets a flow. The caller holds e.mu.
func (e *endpoint) drop(f *endpointFlow) {
	if f.resend != nil {
		f.resend.Stop()
	}
	delete(e.flows, f.client)
}

// run runs a request and sends its response.
func (e *endpoint) run(f *endpointFlow, request string) {
	e.slots <- struct{}{}
	e.mu.Lock()
	id := requestID(request)
	e.record("run", f.client, id)
	e.mu.Unlock()
	time.Sleep(workTime)
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	f.unacked = []byte(response(e.id, id))
	f.sends = 0
	e.sendResponse(f)
}

// sendResponse sends the response until it is acknowledged. The caller holds e.mu.
func (e *endpoint) sendResponse(f *endpointFlow) {
	if len(f.unacked) == 0 || e.flows[f.client] != f || f.sends > maxRetransmits {
		return
	}
	e.send(f, packet{seq: f.next, ack: f.expect, flags: flagACK, data: f.unacked})
	delay := min(firstRetransmit<<f.sends, lastRetransmit)
	f.sends++
	f.resend = time.AfterFunc(delay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.sendResponse(f)
	})
}

func request(id string) string {
	return "POST /line HTTP/1.1\r\nHost: review\r\nX-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

func requestID(request string) string {
	_, rest, _ := strings.Cut(request, "X-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func response(endpointID, id string) string {
	body := endpointID + " " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}
