package steering

import (
	"fmt"
	"runtime"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// heapGrowth returns the bytes of heap and stacks that are in use by the result of build.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc+after.StackInuse) - float64(before.HeapAlloc+before.StackInuse)
}

// Guards against records that use more memory: the 33,000 flows of a daemon must use a small part of
// 256 MB.
func TestMemoryOfFlows(t *testing.T) {
	small := heapGrowth(func() any { s, _ := benchSteerer(10_000, 15); return s })
	large := heapGrowth(func() any { s, _ := benchSteerer(200_000, 15); return s })
	NewWithT(t).Expect((large - small) / 190_000).To(BeNumerically("<", 60))
}

// Reports the memory of a flow as a record and, for comparison, as a goroutine. It is a benchmark
// and not a test, since the race detector does not allow so many goroutines.
func BenchmarkFlowMemory(b *testing.B) {
	for _, n := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("record/flows=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(heapGrowth(func() any { s, _ := benchSteerer(n, 15); return s })/float64(n), "B/flow")
			}
		})
		b.Run(fmt.Sprintf("goroutine/flows=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(goroutineHeapGrowth(n)/float64(n), "B/flow")
			}
		})
	}
}

func goroutineHeapGrowth(n int) float64 {
	stop := make(chan struct{})
	var done sync.WaitGroup
	defer done.Wait()
	defer close(stop)
	return heapGrowth(func() any {
		var started sync.WaitGroup
		for range n {
			r := record{}
			started.Add(1)
			done.Go(func() {
				started.Done()
				<-stop
				r.lastPacket++
			})
		}
		started.Wait()
		return nil
	})
}
