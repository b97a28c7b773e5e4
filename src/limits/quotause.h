#pragma once

#include <string>

namespace rosemaryshift::limits {

/// What an operator is told of the quota of one workspace.
struct QuotaUse {
    std::string workspace;
    double allowed = 0;     ///< Rate x window + burst of its quota.
    double used = 0;        ///< Known usage of all hosts in the window that ends now, with the estimate of what is not reported yet.
    double demanded = 0;    ///< What callers request of all heard hosts within a window, going by the moving average.
    double held = 0;        ///< Part of the window that is held for hosts that are not heard.
    double granted = 0;     ///< Admitted at this host since it started.
    double refused = 0;     ///< Refused at this host since it started.
    double probability = 1; ///< Part of the requests that this host admits now.
};

}
