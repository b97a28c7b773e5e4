#pragma once

namespace rosemaryshift::secondtries {

/// What operators allow; see examples/gateway.toml.
struct SecondTrySettings {
    double share = 0;       ///< Second tries as a part of the requests that may be repeated; 0 for none.
    double quantile = 0.95; ///< Part of the requests whose answers begin before a second try is considered.
};

}
