package ownership

import (
	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// packRecords returns records in the compact form that is sent. It does not change its argument,
// which the release of a resource keeps.
func packRecords(records *pb.ResourceRecords) *pb.ResourceRecords {
	if records == nil {
		return nil
	}
	packed := &pb.ResourceRecords{Resource: records.GetResource(), Groups: wire.PackFlows(records.GetFlows(), nil)}
	if a := records.GetAdmission(); a != nil {
		packed.Admission = &pb.AdmissionRecords{
			GuardToken: a.GetGuardToken(), Groups: wire.PackRequests(a.GetRequests(), a.GetWatermarks()),
		}
	}
	return packed
}

// unpackRecords expands received records from the compact form in place. If they are malformed it
// returns wire.ErrMalformed and changes nothing.
func unpackRecords(records *pb.ResourceRecords) error {
	flows, _, err := wire.UnpackFlows(records.GetGroups())
	if err != nil {
		return err
	}
	requests, watermarks, err := wire.UnpackRequests(records.GetAdmission().GetGroups())
	if err != nil {
		return err
	}
	if len(flows) > 0 {
		records.Flows, records.Groups = flows, nil
	}
	if len(requests)+len(watermarks) > 0 {
		a := records.GetAdmission()
		a.Requests, a.Watermarks, a.Groups = requests, watermarks, nil
	}
	return nil
}
