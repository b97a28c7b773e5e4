#pragma once

#include "program/program.h"

namespace rosemaryshift::ctl {

/// Runs "template check", "template publish", "template show", "template history" or "template diff" and gives the exit code.
int runTemplateCommand(const program::Arguments &arguments);

}
