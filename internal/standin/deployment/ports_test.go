package deployment

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Test processes of other packages choose from the same range at the same time.
func TestPortReservedByAnotherProcessIsNotReservedAgain(t *testing.T) {
	g := NewWithT(t)
	other, err := net.Listen("tcp", net.JoinHostPort(reservationIP, "0"))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { other.Close() })
	g.Expect(reservePort(other.Addr().(*net.TCPAddr).Port)).To(BeFalse())
	g.Expect(other.Close()).To(Succeed())
	g.Expect(reservePort(other.Addr().(*net.TCPAddr).Port)).To(BeTrue())
	g.Expect(reservePort(other.Addr().(*net.TCPAddr).Port)).To(BeFalse(), "reserved by this process")
}
