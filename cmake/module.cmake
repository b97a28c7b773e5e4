add_library(rosemaryshift_options INTERFACE)
target_include_directories(rosemaryshift_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_compile_options(rosemaryshift_options INTERFACE -Wall -Wextra -Wpedantic -Werror)
# GCC 12 wrongly reports a mismatched operator new for the frame allocator of Asio's coroutines.
target_compile_options(rosemaryshift_options INTERFACE $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
target_compile_definitions(rosemaryshift_options INTERFACE SPDLOG_COMPILED_LIB ROSEMARYSHIFT_VERSION="${PROJECT_VERSION}")
target_link_libraries(rosemaryshift_options INTERFACE Threads::Threads Boost::headers)

# Declares one module: a static library built from SOURCES and, when TESTS are given, a Catch2 program NAME_tests whose cases
# ctest runs under LABEL.
function(rosemaryshift_module name)
    cmake_parse_arguments(MODULE "" "LABEL" "SOURCES;DEPENDS;TESTS" ${ARGN})
    add_library(${name} STATIC ${MODULE_SOURCES})
    target_link_libraries(${name} PUBLIC rosemaryshift_options ${MODULE_DEPENDS})
    if(MODULE_TESTS AND NOT ROSEMARYSHIFT_GATEWAY_ONLY)
        rosemaryshift_test(${name}_tests LABEL ${MODULE_LABEL} SOURCES ${MODULE_TESTS} DEPENDS ${name})
    endif()
endfunction()

# Declares one Catch2 program and registers its cases with ctest under LABEL (default unit); each case may take TIMEOUT
# seconds (default 120).
function(rosemaryshift_test name)
    cmake_parse_arguments(TEST "" "LABEL;TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
    if(NOT TEST_TIMEOUT)
        set(TEST_TIMEOUT 120)
    endif()
    if(NOT TEST_LABEL)
        set(TEST_LABEL unit)
    endif()
    add_executable(${name} ${TEST_SOURCES})
    target_link_libraries(${name} PRIVATE ${TEST_DEPENDS} rosemaryshift_testmain)
    catch_discover_tests(${name} PROPERTIES LABELS ${TEST_LABEL} TIMEOUT ${TEST_TIMEOUT})
endfunction()
