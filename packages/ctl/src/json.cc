#include "json.h"

#include <iostream>

namespace basilspread::ctl {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object NewObject() { return Object(Poco::JSON_PRESERVE_KEY_ORDER); }

Array ToJson(const std::vector<config::TableDifference>& differences) {
  Array array;
  for (const config::TableDifference& difference : differences) {
    Object object = NewObject();
    object.set("table", difference.table);
    object.set("section", difference.section);
    object.set("key", difference.key);
    object.set("before", difference.before);
    object.set("after", difference.after);
    array.add(object);
  }
  return array;
}

Object ToJson(const TablesDecision& decision) {
  Object object = NewObject();
  object.set("offset", decision.offset.value);
  object.set("author", decision.record.author);
  object.set("base", decision.record.base.value);
  object.set("accepted", decision.accepted);
  object.set("version", decision.version.value);
  return object;
}

void Print(const Object& object) {
  object.stringify(std::cout, 2);
  std::cout << std::endl;
}

}  // namespace basilspread::ctl
