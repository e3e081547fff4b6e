set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

# Applies the include folder, warnings and definitions that all targets of the project share.
function(berylwing_target_options target)
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Werror
        # False positive of GCC 12 on x86-64: only the allocating half of Asio's pair for coroutine frames is inlined.
        $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
    # Compiling Asio and Beast once, in core/asio.cpp and core/beast.cpp, shortens the build of each source by a third.
    target_compile_definitions(${target} PUBLIC BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_SEPARATE_COMPILATION
        BOOST_BEAST_SEPARATE_COMPILATION SPDLOG_FMT_EXTERNAL)
endfunction()

# Adds one package of src/ as a static library with an alias berylwing::NAME: berylwing_package(NAME SOURCES ... DEPENDS ...).
function(berylwing_package name)
    cmake_parse_arguments(PACKAGE "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(berylwing_${name} STATIC ${PACKAGE_SOURCES})
    add_library(berylwing::${name} ALIAS berylwing_${name})
    berylwing_target_options(berylwing_${name})
    target_link_libraries(berylwing_${name} PUBLIC ${PACKAGE_DEPENDS})
endfunction()
