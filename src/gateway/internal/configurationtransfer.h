#pragma once

#include <string_view>

namespace rosemaryshift::gateway {

/// Path at which gateways send each other the configuration.
inline constexpr std::string_view ConfigurationPath = "/configuration";
/// Query parameter: digest of the text that the peer has. Gateways of earlier versions ignore it and send the whole text.
inline constexpr std::string_view BaseParameter = "base";
/// Query parameter: address of the peer.
inline constexpr std::string_view PeerParameter = "peer";
/// Content type of what configurations::ChangeSource provides.
inline constexpr std::string_view ChangeContentType = "application/vnd.rosemaryshift.configuration-change";
/// Header of the refusal of a busy gateway: addresses of others that have the configuration, separated by commas.
inline constexpr std::string_view HoldersHeader = "Rosemaryshift-Configuration-Holders";

}
