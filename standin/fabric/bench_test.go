package fabric_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/standin/fabric"
	"github.com/fulmarfield/fulmarfield/wire"
)

// BenchmarkHop sends data packets from several callers directly to a balancer's socket, and through
// the fabric's service address, and reports the datagrams received per second.
func BenchmarkHop(b *testing.B) {
	for name, to := range map[string]netip.AddrPort{"direct": daemonA, "fabric": service} {
		b.Run(name, func(b *testing.B) { benchmarkHop(b, to) })
	}
}

func benchmarkHop(b *testing.B, to netip.AddrPort) {
	const senders = 4
	f, err := fabric.Start(fabric.Config{Services: []netip.AddrPort{service}, VMs: []netip.Addr{daemonA.Addr()}, Seed: 1, Log: zerolog.Nop()})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	f.AddDaemon(daemonA, 1)
	sink, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(daemonA))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = sink.Close() }()
	_ = sink.SetReadBuffer(4 << 20)
	var received atomic.Int64
	go func() {
		buffer := make([]byte, 2048)
		for {
			if _, _, err := sink.ReadFromUDPAddrPort(buffer); err != nil {
				return
			}
			received.Add(1)
		}
	}()
	key, _ := wire.NewFlowKey(netip.MustParseAddrPort("127.9.61.9:1"), service)
	raw, _ := wire.EncodePacket(&pb.Packet{Flow: key.Proto(), Kind: pb.Kind_KIND_REQUEST, RequestId: 1, Payload: make([]byte, 100)})
	b.ResetTimer()
	var left atomic.Int64
	left.Store(int64(b.N))
	done := make(chan struct{}, senders)
	for range senders {
		go func() {
			defer func() { done <- struct{}{} }()
			c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 9, 61, 9)})
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			for left.Add(-1) >= 0 {
				_, _ = c.WriteToUDPAddrPort(raw, to)
			}
		}()
	}
	for range senders {
		<-done
	}
	for last := int64(-1); last != received.Load(); time.Sleep(time.Millisecond) {
		last = received.Load()
	}
	b.ReportMetric(float64(received.Load())/b.Elapsed().Seconds(), "received/s")
	b.ReportMetric(float64(received.Load())/float64(b.N), "received/sent")
}
