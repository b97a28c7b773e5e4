#pragma once

#include "program/program.h"

namespace rosemaryshift::ctl {

/// Runs "template check", "publish", "show", "history" or "diff" and gives the program's exit code.
int runTemplateCommand(const program::Arguments &arguments);

}
