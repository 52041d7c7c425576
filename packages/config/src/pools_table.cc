#include "pools_table.h"

#include <map>

namespace basilspread::config {
namespace {

constexpr std::uint32_t kMaxShards = 64;
constexpr std::uint32_t kMaxPercent = 100;

const std::map<std::string, PoolKind> kPoolKinds = {
    {"minions", PoolKind::kMinions}, {"workers", PoolKind::kWorkers}};

const std::map<std::string, std::string> kPlacements = {
    {"best-fit", "best-fit"}, {"first-fit", "first-fit"}, {"random", "random"}};

}  // namespace

void ReadPool(const std::string& name, SectionReader& reader, Tables& tables) {
  Pool pool;
  pool.name = PoolName{name};
  reader.Require("group");
  reader.Read("group", pool.group);
  reader.Read("kind", kPoolKinds, pool.kind);
  reader.Read("shards", 1, kMaxShards, pool.shards);
  reader.Read("short_reserve_percent", 0, kMaxPercent,
              pool.short_reserve_percent);
  reader.Read("placement", kPlacements, pool.placement);
  reader.Read("draining", pool.draining);
  tables.pools.emplace(pool.name, pool);
}

}  // namespace basilspread::config
