#ifndef BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_LOG_H_
#define BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_LOG_H_

#include <cstddef>
#include <string>

#include "basilspread/core/store_call.h"
#include "basilspread/core/submission_record.h"

/// The work log of a StoreWorld keeps the newest record of each key.
namespace basilspread::test {

std::string KeyOf(const WorkRecord& record);
/// Whether the record removes its key.
bool IsDrop(const WorkRecord& record);

/// What the append takes in the log at most.
std::size_t BytesOf(const AppendWork& append);

}  // namespace basilspread::test

#endif  // BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_LOG_H_
