#include "commands.h"

namespace basilspread::ctl {

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands = {
      {"check", "check", "check two tables and report all errors", 0, Check},
      {"diff", "diff", "show what two tables would change", 0, Diff},
      {"publish", "publish", "put two tables in force", 0, Publish},
      {"show", "show", "print the accepted tables", 0, Show},
      {"history", "history", "list the edits in the log", 0, History},
      {"status", "status", "show the cluster's state and the waiting jobs", 0,
       Status},
      {"dump", "dump PROCESS", "print the state of one entry process", 1, Dump},
      {"submit", "submit FILE", "submit the job that a JSON file describes", 1,
       Submit},
      {"jobs", "jobs", "list the jobs", 0, Jobs},
      {"job", "job ID", "show one job", 1, Job},
      {"wait", "wait ID", "wait until a job has ended", 1, Wait},
      {"cancel", "cancel ID", "cancel a job", 1, Cancel},
  };
  return kCommands;
}

}  // namespace basilspread::ctl
