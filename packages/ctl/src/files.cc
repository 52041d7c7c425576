#include "files.h"

#include <fstream>
#include <utility>

#include "basilspread/config/tables.h"

namespace basilspread::ctl {
namespace {

constexpr std::size_t kMaxFileBytes = std::size_t{1} << 20U;

}  // namespace

Result<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file.is_open() || file.bad()) {
    return Error{ErrorKind::kBadRequest, path + ": the file cannot be read"};
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMaxFileBytes) {
    return Error{ErrorKind::kTooLarge, path + ": the file exceeds 1 MiB"};
  }
  return text;
}

Result<Draft> ReadDraft(const Arguments& arguments) {
  if (arguments.routes.empty() || arguments.pools.empty()) {
    return Error{ErrorKind::kBadRequest,
                 "--routes FILE and --pools FILE are required"};
  }
  Draft draft;
  BOOST_OUTCOME_TRY(routes, ReadTextFile(arguments.routes));
  BOOST_OUTCOME_TRY(pools, ReadTextFile(arguments.pools));
  draft.record.route_table = std::move(routes);
  draft.record.pool_table = std::move(pools);
  draft.record.author = arguments.author;
  draft.record.base = arguments.base.value_or(TablesVersion{});
  BOOST_OUTCOME_TRY(
      tables, config::ParseTableFiles(draft.record,
                                      {arguments.routes, arguments.pools}));
  draft.tables = std::move(tables);
  return draft;
}

}  // namespace basilspread::ctl
