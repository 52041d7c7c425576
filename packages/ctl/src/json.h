#ifndef BASILSPREAD_CTL_SRC_JSON_H_
#define BASILSPREAD_CTL_SRC_JSON_H_

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <vector>

#include "basilspread/config/table_diff.h"
#include "basilspread/core/tables_history.h"

namespace basilspread::ctl {

/// Returns an empty object that keeps the order of its keys.
Poco::JSON::Object NewObject();

Poco::JSON::Array ToJson(
    const std::vector<config::TableDifference>& differences);
Poco::JSON::Object ToJson(const TablesDecision& decision);

/// Prints the object to standard output.
void Print(const Poco::JSON::Object& object);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_JSON_H_
