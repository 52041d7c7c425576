#include "soak/picture.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <map>

namespace soak {
namespace {

/// Sizes in pixels.
constexpr double kSecondWidth = 12;
constexpr double kRowHeight = 14;
constexpr double kLabelWidth = 150;
constexpr double kCallHeight = 120;
constexpr double kShortestBar = 3;

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double XOf(Duration since_start) {
  return kLabelWidth + SecondsOf(since_start) * kSecondWidth;
}

void DrawBar(std::ostream& out, double x, double y, double width, double height,
             const char* colour) {
  out << fmt::format(
      "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{:.1f}' "
      "fill='{}'/>\n",
      x, y, width, height, colour);
}

void DrawLabel(std::ostream& out, double x, double y, std::string_view text) {
  out << fmt::format("<text x='{:.1f}' y='{:.1f}'>{}</text>\n", x, y, text);
}

/// Stacked bars of each second's answers to submissions.
void DrawCalls(std::ostream& out, const Ledger& ledger, double bottom) {
  double most = 1;
  for (const auto& [second, counts] : ledger.AnswersBySecond()) {
    most = std::max(most, static_cast<double>(counts.accepted + counts.refused +
                                              counts.unknown));
  }
  for (const auto& [second, counts] : ledger.AnswersBySecond()) {
    const double x = XOf(std::chrono::seconds(second));
    double y = bottom;
    const auto stack = [&](std::uint64_t count, const char* colour) {
      const double height = kCallHeight * static_cast<double>(count) / most;
      y -= height;
      DrawBar(out, x, y, kSecondWidth - 1, height, colour);
    };
    stack(counts.accepted, "seagreen");
    stack(counts.refused, "goldenrod");
    stack(counts.unknown, "firebrick");
  }
  DrawLabel(out, 2, bottom - kCallHeight / 2,
            fmt::format("answers a second, to {:.0f}", most));
}

}  // namespace

void DrawPicture(const World& world, TimePoint began, const std::string& path) {
  // One row for each kind of fault that came.
  std::map<std::size_t, double> rows;
  Duration length{};
  for (const FaultRecord& fault : world.Faults()) {
    rows.emplace(fault.kind, 0);
    length = std::max(length, fault.end - began);
  }
  double y = kRowHeight;
  for (auto& [kind, row] : rows) {
    row = y;
    y += kRowHeight;
  }
  const double bottom = y + kCallHeight + kRowHeight;
  for (const auto& [second, counts] : world.GetLedger().AnswersBySecond()) {
    length = std::max<Duration>(length, std::chrono::seconds(second + 1));
  }
  std::ofstream out(path);
  out << fmt::format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='{:.0f}' height='{:.0f}' "
      "font-size='10' font-family='sans-serif'>\n"
      "<rect width='100%' height='100%' fill='white'/>\n",
      XOf(length) + kLabelWidth, bottom + 2 * kRowHeight);
  for (const auto& [kind, row] : rows) {
    DrawLabel(out, 2, row + kRowHeight - 4, FaultKinds()[kind].name);
  }
  for (const FaultRecord& fault : world.Faults()) {
    const double width = std::max(
        kShortestBar, SecondsOf(fault.end - fault.begin) * kSecondWidth);
    DrawBar(out, XOf(fault.begin - began), rows.at(fault.kind), width,
            kRowHeight - 2, "steelblue");
  }
  DrawCalls(out, world.GetLedger(), bottom);
  for (const Finding& finding : world.GetLedger().Findings()) {
    const double x = XOf(finding.at - began);
    DrawBar(out, x, 0, 1, bottom, "red");
    DrawLabel(out, x + 2, bottom + kRowHeight, finding.check);
  }
  constexpr int kTickSeconds = 10;
  for (int second = 0; second <= SecondsOf(length); second += kTickSeconds) {
    DrawLabel(out, XOf(std::chrono::seconds(second)),
              bottom + 2 * kRowHeight - 4, std::to_string(second) + " s");
  }
  out << "</svg>\n";
}

}  // namespace soak
