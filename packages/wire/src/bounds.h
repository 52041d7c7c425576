#ifndef BASILSPREAD_WIRE_SRC_BOUNDS_H_
#define BASILSPREAD_WIRE_SRC_BOUNDS_H_

#include "basilspread/core/peer_message.h"
#include "basilspread/core/record.h"
#include "basilspread/core/submission_record.h"

/// Range checks of decoded messages and records. Values that no correct process
/// sends are rejected, so that sums of times and amounts cannot overflow.
namespace basilspread::wire {

bool IsWithinBounds(const PeerMessage& message);
bool IsWithinBounds(const LogRecord& record);
bool IsWithinBounds(const WorkRecord& record);

}  // namespace basilspread::wire

#endif  // BASILSPREAD_WIRE_SRC_BOUNDS_H_
