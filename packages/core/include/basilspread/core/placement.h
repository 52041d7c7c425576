#ifndef BASILSPREAD_CORE_PLACEMENT_H_
#define BASILSPREAD_CORE_PLACEMENT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "basilspread/core/random.h"
#include "basilspread/core/resources.h"

namespace basilspread {

/// Workers by what they have free, so that a choice among thousands looks at
/// a bounded number of them. A worker is known by its slot in the index.
class PlacementIndex {
 public:
  /// Adds a worker without room; returns its slot.
  std::size_t Add(const Resources& capacity);
  void SetCapacity(std::size_t slot, const Resources& capacity);
  /// States what a worker has free; unset: nothing may be placed there.
  void SetFree(std::size_t slot, const std::optional<Resources>& free);

  std::size_t size() const { return this->workers.size(); }
  bool HasRoom(std::size_t slot, const Resources& demand) const;

  /// The tightest fit among a bounded number of close ones; unset only when
  /// no worker fits.
  std::optional<std::size_t> BestFit(const Resources& demand) const;
  /// The first worker from `start` on, in order of slots, that fits. Algorithm:
  /// descent of a tree of component-wise maxima.
  std::optional<std::size_t> FirstFit(const Resources& demand,
                                      std::size_t start) const;

 private:
  static constexpr std::size_t kDimensions = 3;
  using Order = std::set<std::pair<std::int64_t, std::size_t>>;

  struct Worker {
    Resources capacity;
    Resources free;
  };

  std::size_t DominantDimension(const Resources& demand) const;
  double Score(std::size_t slot, const Resources& demand) const;
  void Grow();
  void UpdateMaxima(std::size_t slot);
  std::optional<std::size_t> Descend(const Resources& demand, std::size_t start,
                                     std::size_t node, std::size_t first,
                                     std::size_t count) const;

  std::vector<Worker> workers;
  /// Component-wise largest capacity seen; scales the shares.
  Resources scale;
  /// Per dimension: what is free, with the slot.
  std::array<Order, kDimensions> orders;
  /// Heap-shaped tree of component-wise maxima over the slots.
  std::vector<Resources> maxima;
  std::size_t leaves = 0;
};

/// The built-in policies, by the names that the pool table uses.
std::optional<std::size_t> ChooseBestFit(const PlacementIndex& index,
                                         const Resources& demand,
                                         Random& random);
std::optional<std::size_t> ChooseFirstFit(const PlacementIndex& index,
                                          const Resources& demand,
                                          Random& random);
std::optional<std::size_t> ChooseRandomFit(const PlacementIndex& index,
                                           const Resources& demand,
                                           Random& random);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_PLACEMENT_H_
