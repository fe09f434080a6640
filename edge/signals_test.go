package edge

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// settingsVariable names the settings file for this test binary to run as a daemon.
const settingsVariable = "EDGE_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsVariable); path != "" {
		os.Exit(Main([]string{"--settings-file", path}))
	}
	os.Exit(m.Run())
}

// startProcess runs a daemon as a process that writes its log into a pipe, and returns it with the reader.
func startProcess(t *testing.T, settings string) (*exec.Cmd, *os.File) {
	g := NewWithT(t)
	reader, writer, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	command := exec.Command(os.Args[0])
	command.Env, command.Stdout = append(os.Environ(), settingsVariable+"="+settings), writer
	g.Expect(command.Start()).To(Succeed())
	g.Expect(writer.Close()).To(Succeed())
	t.Cleanup(func() { _ = command.Process.Kill() })
	return command, reader
}

func processSettings(t *testing.T, number int) string {
	_, store := startStore(t)
	ip := fmt.Sprintf("127.51.0.%d", number)
	return fmt.Sprintf("name = d\nzone = z\npacket-address = %s:7701\nready-address = %s:7702\nadmin-address = %s:7703\n"+
		"store-address = %s\ngrace-seconds = 2\n", ip, ip, ip, store)
}

// Guards against a daemon that ends because the reader of its log does.
func TestLogReaderEnds(t *testing.T) {
	g := NewWithT(t)
	command, reader := startProcess(t, writeSettings(t, processSettings(t, 91)))
	g.Expect(reader.Close()).To(Succeed())
	g.Eventually(func() int { return statusCode("http://127.51.0.91:7703/metrics") }, testTimeout).Should(Equal(200))
	g.Expect(command.Process.Signal(syscall.SIGHUP)).To(Succeed())
	time.Sleep(100 * time.Millisecond)
	g.Expect(command.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Expect(command.Wait()).To(Succeed())
}

// Guards against a daemon that a change of its settings ends while it starts. The settings come from a pipe,
// so that the daemon waits for them when it is signalled.
func TestSignalDuringStart(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.ini")
	g.Expect(syscall.Mkfifo(path, 0o600)).To(Succeed())
	command, reader := startProcess(t, path)
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // Waits until the daemon reads.
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(command.Process.Signal(syscall.SIGHUP)).To(Succeed())
	text := processSettings(t, 92)
	_, err = settings.WriteString(text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.Rename(writeSettings(t, text), path)).To(Succeed())
	g.Expect(settings.Close()).To(Succeed())
	for lines := bufio.NewScanner(reader); lines.Scan(); {
		if strings.Contains(lines.Text(), eventReloaded) || strings.Contains(lines.Text(), eventReloadRefused) {
			g.Expect(command.Process.Signal(syscall.SIGTERM)).To(Succeed())
		}
	}
	g.Expect(command.Wait()).To(Succeed())
}
