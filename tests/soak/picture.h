#ifndef BASILSPREAD_TESTS_SOAK_PICTURE_H_
#define BASILSPREAD_TESTS_SOAK_PICTURE_H_

#include <string>

#include "soak/world.h"

namespace soak {

/// Draws faults, calls and findings over time, as an SVG file.
void DrawPicture(const World& world, TimePoint began, const std::string& path);

}  // namespace soak

#endif  // BASILSPREAD_TESTS_SOAK_PICTURE_H_
