#ifndef BASILSPREAD_CONFIG_SRC_ROUTES_TABLE_H_
#define BASILSPREAD_CONFIG_SRC_ROUTES_TABLE_H_

#include "basilspread/config/ini.h"
#include "basilspread/core/tables.h"

namespace basilspread::config {

/// Reads every [route NAME] of the route table. The pools must stand already,
/// since a route that names none is a fault.
void ReadRoutes(const IniFile& file, Tables& tables, Diagnostics& diagnostics);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_SRC_ROUTES_TABLE_H_
