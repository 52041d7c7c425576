#include "commands.h"
#include "job_client.h"

namespace basilspread::ctl {

ExitStatus Job(const Arguments& arguments) {
  JobCall call;
  call.method = "GET";
  call.target = "/" + arguments.operands.front();
  return CallAndPrint(arguments, call);
}

}  // namespace basilspread::ctl
