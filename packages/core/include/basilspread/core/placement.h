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

/// Index of workers by free capacity, so that a choice among thousands examines
/// a bounded number of them. A worker is identified by its slot in the index.
class PlacementIndex {
 public:
  /// Adds a worker with no free capacity; returns its slot.
  std::size_t Add(const Resources& capacity);
  void SetCapacity(std::size_t slot, const Resources& capacity);
  /// Sets a worker's free capacity; unset: nothing may be placed there.
  void SetFree(std::size_t slot, const std::optional<Resources>& free);

  std::size_t size() const { return this->workers.size(); }
  bool HasRoom(std::size_t slot, const Resources& demand) const;

  /// The tightest fit among a bounded number of candidates; unset only when no
  /// worker fits.
  std::optional<std::size_t> BestFit(const Resources& demand) const;
  /// The first worker that fits, in order of slots from `start` on and then
  /// from the first slot. Algorithm: descent of a tree of component-wise
  /// maxima.
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
  /// Component-wise maximum of the capacities so far; normalizes the
  /// dimensions.
  Resources scale;
  /// Per dimension: the slots by free capacity.
  std::array<Order, kDimensions> orders;
  /// Heap-shaped tree of component-wise maxima over the slots.
  std::vector<Resources> maxima;
  std::size_t leaves = 0;
};

/// The built-in placement policies; the pool table refers to them by name.
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
