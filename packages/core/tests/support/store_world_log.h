#ifndef BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_LOG_H_
#define BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_LOG_H_

#include <cstddef>
#include <string>

#include "basilspread/core/store_call.h"
#include "basilspread/core/submission_record.h"

/// Compaction of a StoreWorld's work log, which keeps the newest record of each
/// key.
namespace basilspread::test {

std::string KeyOf(const WorkRecord& record);
/// Whether the record removes its key.
bool IsDrop(const WorkRecord& record);

/// What the record under the key is about.
RecordSubject SubjectOf(const std::string& key);

/// Whether the store takes all records of the append.
bool IsTaken(const AppendWork& append);
/// Whether processes can decode the record.
bool IsReadable(const WorkRecord& record);

/// Upper bound on the append's size in the log, in bytes.
std::size_t BytesOf(const AppendWork& append);

}  // namespace basilspread::test

#endif  // BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_LOG_H_
