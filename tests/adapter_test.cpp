/// @file Tests of the adapter to the users' platform.
#include "platform/deploy_settings_type.h"

#include <gtest/gtest.h>

namespace hyssoppond::platform {

// Guards against a settings file whose faults are reported one at a time or not at all.
TEST(deploy_settings_test, listsAllFaultsAtOnce)
{
    const auto read = parseDeploySettings(R"({"name": "", "zone": 3, "front": "10.0.0.1"})");
    ASSERT_FALSE(read.has_value());
    for (const char *field : {"name", "zone", "front", "store_address"})
        EXPECT_NE(read.error().message.find(field), std::string::npos) << field;
}

} // namespace hyssoppond::platform
