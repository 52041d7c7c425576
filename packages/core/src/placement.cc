#include "basilspread/core/placement.h"

#include <algorithm>
#include <limits>

namespace basilspread {
namespace {

/// Maximum number of candidates that BestFit compares.
constexpr std::size_t kMaxProbes = 32;
/// Weight of unused accelerators for a task that needs none, which keeps
/// workers with accelerators free for tasks that need them.
constexpr double kAcceleratorWeight = 4.0;

/// Free capacity that holds no demand, not even an empty one.
constexpr Resources kNoRoom{-1, -1, -1};

std::int64_t Component(const Resources& resources, std::size_t dimension) {
  switch (dimension) {
    case 0:
      return resources.cpu_millicores;
    case 1:
      return resources.memory_mebibytes;
    default:
      return resources.accelerators;
  }
}

double Share(std::int64_t part, std::int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

Resources Maximum(const Resources& left, const Resources& right) {
  return Resources{std::max(left.cpu_millicores, right.cpu_millicores),
                   std::max(left.memory_mebibytes, right.memory_mebibytes),
                   std::max(left.accelerators, right.accelerators)};
}

}  // namespace

std::size_t PlacementIndex::Add(const Resources& capacity) {
  const std::size_t slot = this->workers.size();
  this->workers.push_back(Worker{capacity, kNoRoom});
  this->scale = Maximum(this->scale, capacity);
  if (slot >= this->leaves) {
    this->Grow();
  }
  for (std::size_t i = 0; i < kDimensions; ++i) {
    this->orders[i].emplace(-1, slot);
  }
  this->UpdateMaxima(slot);
  return slot;
}

void PlacementIndex::SetCapacity(std::size_t slot, const Resources& capacity) {
  this->workers[slot].capacity = capacity;
  this->scale = Maximum(this->scale, capacity);
}

void PlacementIndex::SetFree(std::size_t slot,
                             const std::optional<Resources>& free) {
  Resources& current = this->workers[slot].free;
  const Resources next = free.value_or(kNoRoom);
  if (next == current) {
    return;
  }
  for (std::size_t i = 0; i < kDimensions; ++i) {
    this->orders[i].erase({Component(current, i), slot});
    this->orders[i].emplace(Component(next, i), slot);
  }
  current = next;
  this->UpdateMaxima(slot);
}

bool PlacementIndex::HasRoom(std::size_t slot, const Resources& demand) const {
  return Fits(demand, this->workers[slot].free);
}

std::optional<std::size_t> PlacementIndex::BestFit(
    const Resources& demand) const {
  const std::size_t dimension = this->DominantDimension(demand);
  const Order& order = this->orders[dimension];
  std::optional<std::size_t> best;
  double best_score = std::numeric_limits<double>::infinity();
  auto candidate = order.lower_bound({Component(demand, dimension), 0});
  for (std::size_t i = 0; i < kMaxProbes && candidate != order.end(); ++i) {
    const std::size_t slot = candidate->second;
    const double score = this->Score(slot, demand);
    if (this->HasRoom(slot, demand) && score < best_score) {
      best = slot;
      best_score = score;
    }
    ++candidate;
  }
  return best ? best : this->FirstFit(demand, 0);
}

std::optional<std::size_t> PlacementIndex::FirstFit(const Resources& demand,
                                                    std::size_t start) const {
  if (this->workers.empty()) {
    return std::nullopt;
  }
  const auto found = this->Descend(demand, start, 1, 0, this->leaves);
  return found || start == 0 ? found
                             : this->Descend(demand, 0, 1, 0, this->leaves);
}

std::size_t PlacementIndex::DominantDimension(const Resources& demand) const {
  std::size_t dominant = 0;
  double largest = -1;
  for (std::size_t i = 0; i < kDimensions; ++i) {
    const double share = Share(Component(demand, i), Component(this->scale, i));
    if (share > largest) {
      largest = share;
      dominant = i;
    }
  }
  return dominant;
}

double PlacementIndex::Score(std::size_t slot, const Resources& demand) const {
  const Resources left = this->workers[slot].free - demand;
  double score = Share(left.cpu_millicores, this->scale.cpu_millicores) +
                 Share(left.memory_mebibytes, this->scale.memory_mebibytes);
  const double accelerators =
      Share(left.accelerators, this->scale.accelerators);
  score += accelerators * (demand.accelerators > 0 ? 1.0 : kAcceleratorWeight);
  return score;
}

void PlacementIndex::Grow() {
  this->leaves = std::max<std::size_t>(1, this->leaves * 2);
  this->maxima.assign(this->leaves * 2, kNoRoom);
  for (std::size_t slot = 0; slot < this->workers.size(); ++slot) {
    this->maxima[this->leaves + slot] = this->workers[slot].free;
  }
  for (std::size_t node = this->leaves - 1; node > 0; --node) {
    this->maxima[node] =
        Maximum(this->maxima[2 * node], this->maxima[2 * node + 1]);
  }
}

void PlacementIndex::UpdateMaxima(std::size_t slot) {
  std::size_t node = this->leaves + slot;
  this->maxima[node] = this->workers[slot].free;
  for (node /= 2; node > 0; node /= 2) {
    this->maxima[node] =
        Maximum(this->maxima[2 * node], this->maxima[2 * node + 1]);
  }
}

std::optional<std::size_t> PlacementIndex::Descend(const Resources& demand,
                                                   std::size_t start,
                                                   std::size_t node,
                                                   std::size_t first,
                                                   std::size_t count) const {
  const bool is_left_out = first + count <= start;
  if (is_left_out || !Fits(demand, this->maxima[node])) {
    return std::nullopt;
  }
  if (count == 1) {
    return first;
  }
  const std::size_t half = count / 2;
  const auto found = this->Descend(demand, start, 2 * node, first, half);
  return found ? found
               : this->Descend(demand, start, 2 * node + 1, first + half, half);
}

std::optional<std::size_t> ChooseBestFit(const PlacementIndex& index,
                                         const Resources& demand,
                                         Random& /*random*/) {
  return index.BestFit(demand);
}

std::optional<std::size_t> ChooseFirstFit(const PlacementIndex& index,
                                          const Resources& demand,
                                          Random& /*random*/) {
  return index.FirstFit(demand, 0);
}

std::optional<std::size_t> ChooseRandomFit(const PlacementIndex& index,
                                           const Resources& demand,
                                           Random& random) {
  if (index.size() == 0) {
    return std::nullopt;
  }
  return index.FirstFit(demand, random.NextBelow(index.size()));
}

}  // namespace basilspread
