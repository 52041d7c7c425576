#include "basilspread/core/resources.h"

namespace basilspread {

Resources& Resources::operator+=(const Resources& other) {
  this->cpu_millicores += other.cpu_millicores;
  this->memory_mebibytes += other.memory_mebibytes;
  this->accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  this->cpu_millicores -= other.cpu_millicores;
  this->memory_mebibytes -= other.memory_mebibytes;
  this->accelerators -= other.accelerators;
  return *this;
}

Resources operator+(Resources left, const Resources& right) {
  return left += right;
}

Resources operator-(Resources left, const Resources& right) {
  return left -= right;
}

Resources Times(const Resources& demand, std::size_t count) {
  const auto factor = static_cast<std::int64_t>(count);
  return {demand.cpu_millicores * factor, demand.memory_mebibytes * factor,
          demand.accelerators * factor};
}

bool Fits(const Resources& demand, const Resources& room) {
  return demand.cpu_millicores <= room.cpu_millicores &&
         demand.memory_mebibytes <= room.memory_mebibytes &&
         demand.accelerators <= room.accelerators;
}

}  // namespace basilspread
