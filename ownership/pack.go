package ownership

import (
	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// packed returns records in their compact form, as they are sent. records is not changed, since
// a released slot keeps it.
func packed(records *pb.ResourceRecords) *pb.ResourceRecords {
	if records == nil {
		return nil
	}
	sent := &pb.ResourceRecords{Resource: records.GetResource(), Groups: wire.PackFlows(records.GetFlows(), nil)}
	if a := records.GetAdmission(); a != nil {
		sent.Admission = &pb.AdmissionRecords{
			GuardToken: a.GetGuardToken(), Groups: wire.PackRequests(a.GetRequests(), a.GetWatermarks()),
		}
	}
	return sent
}

// unpack puts received records into their usual form. It returns wire.ErrMalformed and changes
// nothing if they are not whole.
func unpack(records *pb.ResourceRecords) error {
	flows, _, err := wire.UnpackFlows(records.GetGroups())
	if err != nil {
		return err
	}
	requests, marks, err := wire.UnpackRequests(records.GetAdmission().GetGroups())
	if err != nil {
		return err
	}
	if len(flows) > 0 {
		records.Flows, records.Groups = flows, nil
	}
	if len(requests)+len(marks) > 0 {
		a := records.GetAdmission()
		a.Requests, a.Watermarks, a.Groups = requests, marks, nil
	}
	return nil
}
