#ifndef BASILSPREAD_WIRE_RUN_TIMES_CODEC_H_
#define BASILSPREAD_WIRE_RUN_TIMES_CODEC_H_

#include "basilspread/core/result.h"
#include "basilspread/core/submission_record.h"
#include "common.h"

/// Encoding of learned run times. The buckets of a histogram are relative to
/// the largest, in steps of 1/255.
namespace basilspread::wire::run_times_codec {

flatbuffers::Offset<fb::RunTimesRecord> Pack(
    flatbuffers::FlatBufferBuilder& builder, const RunTimesRecord& record);

/// Errors: kBadRequest for too many rows and for histograms beyond the axis.
Result<RunTimesRecord> Unpack(const fb::RunTimesRecord& packed);

}  // namespace basilspread::wire::run_times_codec

#endif  // BASILSPREAD_WIRE_RUN_TIMES_CODEC_H_
