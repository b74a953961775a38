# The CMake style that cmake-lint holds the project's files to (`make lint-cmake`).
with section("format"):
    # A ratchet, to be lowered to 110 as in the C++ code: the longest line there is.
    line_width = 132
    tab_size = 2

with section("lint"):
    # W0106: takes the escaped "\${...}" that configuration files need for a mistyped reference.
    disabled_codes = ["W0106"]
    # Variables of a function or a loop are lower_case; CAPNPC_* are arguments of capnp_generate_cpp().
    local_var_pattern = "[a-z][a-z0-9_]+|CAPNPC_[A-Z_]+"
    # Options and what other files read are UPPER_CASE; what only its own file reads may be lower_case.
    private_var_pattern = "_?[a-z][0-9a-z_]+"
