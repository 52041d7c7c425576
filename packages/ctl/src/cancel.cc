#include "commands.h"
#include "job_client.h"

namespace basilspread::ctl {

ExitStatus Cancel(const Arguments& arguments) {
  JobCall call;
  call.method = "DELETE";
  call.target = "/" + arguments.operands.front();
  return CallAndPrint(arguments, call);
}

}  // namespace basilspread::ctl
