#ifndef CRASHFS_ABI_H
#define CRASHFS_ABI_H

/* The parts of the SQLite VFS interface (version 1) that the shim uses, declared here because they
   are ABI-stable; the library itself is the one that the program is linked with. */

#define SQLITE_OK 0
#define SQLITE_ERROR 1
#define SQLITE_NOMEM 7
#define SQLITE_ACCESS_EXISTS 0
#define SQLITE_OPEN_MAIN_JOURNAL 0x00000800
#define SQLITE_OPEN_SUPER_JOURNAL 0x00004000
#define SQLITE_OPEN_WAL 0x00080000
#define SQLITE_FCNTL_SIZE_HINT 5
#define SQLITE_FCNTL_CHUNK_SIZE 6

typedef long long sqlite3_int64;
typedef const char *sqlite3_filename;
typedef struct sqlite3_file sqlite3_file;
typedef struct sqlite3_io_methods sqlite3_io_methods;
typedef struct sqlite3_vfs sqlite3_vfs;

struct sqlite3_file {
	const sqlite3_io_methods *pMethods;
};

struct sqlite3_io_methods {
	int iVersion;
	int (*xClose)(sqlite3_file *);
	int (*xRead)(sqlite3_file *, void *, int, sqlite3_int64);
	int (*xWrite)(sqlite3_file *, const void *, int, sqlite3_int64);
	int (*xTruncate)(sqlite3_file *, sqlite3_int64);
	int (*xSync)(sqlite3_file *, int);
	int (*xFileSize)(sqlite3_file *, sqlite3_int64 *);
	int (*xLock)(sqlite3_file *, int);
	int (*xUnlock)(sqlite3_file *, int);
	int (*xCheckReservedLock)(sqlite3_file *, int *);
	int (*xFileControl)(sqlite3_file *, int, void *);
	int (*xSectorSize)(sqlite3_file *);
	int (*xDeviceCharacteristics)(sqlite3_file *);
};

struct sqlite3_vfs {
	int iVersion;
	int szOsFile;
	int mxPathname;
	sqlite3_vfs *pNext;
	const char *zName;
	void *pAppData;
	int (*xOpen)(sqlite3_vfs *, sqlite3_filename, sqlite3_file *, int, int *);
	int (*xDelete)(sqlite3_vfs *, const char *, int);
	int (*xAccess)(sqlite3_vfs *, const char *, int, int *);
	int (*xFullPathname)(sqlite3_vfs *, const char *, int, char *);
	void *(*xDlOpen)(sqlite3_vfs *, const char *);
	void (*xDlError)(sqlite3_vfs *, int, char *);
	void (*(*xDlSym)(sqlite3_vfs *, void *, const char *))(void);
	void (*xDlClose)(sqlite3_vfs *, void *);
	int (*xRandomness)(sqlite3_vfs *, int, char *);
	int (*xSleep)(sqlite3_vfs *, int);
	int (*xCurrentTime)(sqlite3_vfs *, double *);
	int (*xGetLastError)(sqlite3_vfs *, int, char *);
};

sqlite3_vfs *sqlite3_vfs_find(const char *);
int sqlite3_vfs_register(sqlite3_vfs *, int);

#endif
