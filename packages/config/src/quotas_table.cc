#include "quotas_table.h"

#include <cstdint>

namespace basilspread::config {
namespace {

constexpr std::uint32_t kMaxMillicores = 1'000'000'000;
constexpr std::uint32_t kMaxMebibytes = 4'000'000'000;
constexpr std::uint32_t kMaxAccelerators = 1'000'000;

void ReadAmount(SectionReader& reader, std::string_view key,
                std::uint32_t maximum, std::int64_t& target) {
  std::uint32_t amount = 0;
  reader.Require(key);
  reader.Read(key, 0, maximum, amount);
  target = amount;
}

}  // namespace

void ReadQuota(const std::string& name, SectionReader& reader, Tables& tables) {
  Quota quota;
  quota.team = TeamName{name};
  ReadAmount(reader, "cpu_millicores", kMaxMillicores,
             quota.limit.cpu_millicores);
  ReadAmount(reader, "memory_mebibytes", kMaxMebibytes,
             quota.limit.memory_mebibytes);
  ReadAmount(reader, "accelerators", kMaxAccelerators,
             quota.limit.accelerators);
  tables.quotas.emplace(quota.team, quota);
}

}  // namespace basilspread::config
