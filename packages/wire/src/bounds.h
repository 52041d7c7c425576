#ifndef BASILSPREAD_WIRE_SRC_BOUNDS_H_
#define BASILSPREAD_WIRE_SRC_BOUNDS_H_

#include "basilspread/core/peer_message.h"
#include "basilspread/core/record.h"
#include "basilspread/core/submission_record.h"

/// Whether what was unpacked is something that a sound process sends: its
/// times and amounts are such that sums of them stay in range.
namespace basilspread::wire {

bool IsWithinBounds(const PeerMessage& message);
bool IsWithinBounds(const LogRecord& record);
bool IsWithinBounds(const WorkRecord& record);

}  // namespace basilspread::wire

#endif  // BASILSPREAD_WIRE_SRC_BOUNDS_H_
