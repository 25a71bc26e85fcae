/* Runs the interpreter that is linked into this file, with all modules read
 * from the archive that is appended to it. Nothing is unpacked and no process
 * is started. */

#define PY_SSIZE_T_CLEAN
#include <Python.h>

#include <dlfcn.h>
#include <limits.h>
#include <unistd.h>

/* Loads a shared library that an extension module depends on, so that the
 * dynamic linker finds it by its name when the module is loaded. */
static PyObject *
load_library(PyObject *self, PyObject *args)
{
    const char *path;
    if (!PyArg_ParseTuple(args, "s", &path)) {
        return NULL;
    }
    if (dlopen(path, RTLD_NOW | RTLD_GLOBAL) == NULL) {
        PyErr_SetString(PyExc_ImportError, dlerror());
        return NULL;
    }
    Py_RETURN_NONE;
}

static PyMethodDef launcher_methods[] = {
    {"load_library", load_library, METH_VARARGS, "Load a shared library."},
    {NULL, NULL, 0, NULL},
};

static struct PyModuleDef launcher_module = {
    PyModuleDef_HEAD_INIT,
    "_launcher",
    "Functions of the launcher for the bootstrap module.",
    -1,
    launcher_methods,
};

static PyObject *
init_launcher(void)
{
    return PyModule_Create(&launcher_module);
}

static PyStatus
configure(PyConfig *config, int argc, char **argv, const char *executable)
{
    PyConfig_InitIsolatedConfig(config);
    config->parse_argv = 0;
    config->site_import = 0;
    config->write_bytecode = 0;
    config->pathconfig_warnings = 0;
    config->buffered_stdio = 1;
    /* Without its handlers, the interpreter leaves SIGPIPE at its default, and
     * a write to a connection that the peer has closed ends the process. */
    config->install_signal_handlers = 1;
    config->module_search_paths_set = 1;

    wchar_t *path = Py_DecodeLocale(executable, NULL);
    PyStatus status = PyWideStringList_Append(&config->module_search_paths,
                                              path);
    wchar_t **folders[] = {
        &config->executable, &config->base_executable, &config->prefix,
        &config->base_prefix, &config->exec_prefix,
        &config->base_exec_prefix, &config->stdlib_dir,
    };
    for (size_t i = 0; i < Py_ARRAY_LENGTH(folders); i++) {
        if (!PyStatus_Exception(status)) {
            status = PyConfig_SetString(config, folders[i], path);
        }
    }
    PyMem_RawFree(path);
    if (!PyStatus_Exception(status)) {
        status = PyConfig_SetBytesArgv(config, argc, argv);
    }
    return status;
}

int
main(int argc, char **argv)
{
    char executable[PATH_MAX];
    ssize_t length = readlink("/proc/self/exe", executable, PATH_MAX - 1);
    if (length < 0) {
        perror("rhubarbpaddle: /proc/self/exe");
        return 1;
    }
    executable[length] = '\0';

    PyImport_AppendInittab("_launcher", init_launcher);
    PyPreConfig preconfig;
    PyPreConfig_InitIsolatedConfig(&preconfig);
    preconfig.utf8_mode = 1;
    PyStatus status = Py_PreInitialize(&preconfig);
    PyConfig config;
    if (!PyStatus_Exception(status)) {
        status = configure(&config, argc, argv, executable);
    }
    if (!PyStatus_Exception(status)) {
        status = Py_InitializeFromConfig(&config);
        PyConfig_Clear(&config);
    }
    if (PyStatus_Exception(status)) {
        Py_ExitStatusException(status);
    }

    PyObject *bootstrap = PyImport_ImportModule("_bootstrap_archive");
    PyObject *result = NULL;
    if (bootstrap != NULL) {
        result = PyObject_CallMethod(bootstrap, "run", NULL);
    }
    if (result == NULL) {
        /* Exits with the code of a SystemExit. */
        PyErr_Print();
        return 1;
    }
    return Py_FinalizeEx() < 0 ? 120 : 0;
}
